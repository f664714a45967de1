// Command standin plays the cases of review/ with a small deployment on loopback
// addresses. It starts the daemons as processes of their own; the store, the upstreams
// and the clients are stand-ins in this process.
//
//	standin CASE ROOT RECORD TROUBLE
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken is the result of a case in which the rule was broken.
type errBroken string

func (e errBroken) Error() string { return string(e) }

var cases = map[string]func(f *fleet, trouble bool) error{
	"restart": playRestart,
	"foreign": playForeign,
	"stops":   playStops,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD TROUBLE")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3], os.Args[4] != "0"))
}

func play(run func(*fleet, bool) error, root, path string, trouble bool) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &record{out: file, started: time.Now()}
	f, err := newFleet(rec, root)
	if err == nil {
		defer f.stop()
		go func() {
			ended := make(chan os.Signal, 1)
			signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
			<-ended
			f.stop()
			os.Exit(2)
		}()
		err = run(f, trouble)
	}
	switch broken := err.(type) {
	case nil:
		rec.printf("RESULT: the rule held")
		fmt.Println("the rule held")
		return 0
	case errBroken:
		rec.printf("RESULT: %s", broken)
		fmt.Println(broken)
		return 1
	default:
		rec.printf("RESULT: the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
}
