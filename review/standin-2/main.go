// Command harness plays the script cases of the second review: it starts daemons with the
// command of the deploy file, and in its own process the stand-ins of the platform's store,
// of upstreams and of clients. See review/REPORT-2.md.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld        = 0
	exitBroken      = 1
	exitCouldNotRun = 2
)

// scenarios are the cases by name. Each returns whether the rule was broken.
var scenarios = map[string]func(trouble bool) bool{
	"service":   serviceCase,
	"departure": departureCase,
	"stop":      stopCase,
	"all-dead":  allDeadCase,
	"rollout":   rolloutCase,
}

func main() {
	os.Exit(play())
}

func play() (status int) {
	defer func() {
		if cause := recover(); cause != nil {
			var failed couldNotRun
			if err, ok := cause.(error); ok && errors.As(err, &failed) {
				fmt.Println("could not run:", failed.err)
				status = exitCouldNotRun
				return
			}
			panic(cause)
		}
	}()
	scenario := scenarios[os.Args[1]]
	if scenario == nil {
		fmt.Println("no scenario", os.Args[1])
		return exitCouldNotRun
	}
	if scenario(os.Getenv("TROUBLE") != "0") {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func (c couldNotRun) Error() string { return c.err.Error() }

// smallBounds are those of sites/gprsa-mesh.toml.
var smallBounds = map[string]string{"bounds.budget_slack": "56", "bounds.retry_budget_ratio": "0.2", "bounds.grace_s": "6"}
