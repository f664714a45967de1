package soak

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

// endedRequest is a request that ended without a complete response of a target. Times
// are seconds after the SIGTERM of the daemon that took it.
type endedRequest struct {
	sent, ended float64
	// ran says that a target started to run it; worked is when the target stopped
	// working on it, 0 if it still works on it.
	ran    bool
	worked float64
	// targetDaemonStopped is when the daemon beside the target got SIGTERM, 0 if it did
	// not.
	targetDaemonStopped float64
	// targetExited is when the target exited, 0 if it did not.
	targetExited float64
	completed    bool
	fault        bool
	// nonIdempotent requests may not be repeated.
	nonIdempotent bool
	// status is that of the daemon's own response, 0 if the connection was closed.
	status int
}

// violations returns how many violations a request leads to.
func (e endedRequest) violations() []Violation {
	start := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	c := newChecker()
	h := &host{name: "side-0"}
	c.stoppedAt[h] = start
	targetHost := &host{name: "side-1"}
	if e.targetDaemonStopped != 0 {
		c.stoppedAt[targetHost] = at(e.targetDaemonStopped)
	}
	request := &sentRequest{id: "r", host: h, deadline: 25 * time.Second, idempotent: !e.nonIdempotent, at: at(e.sent)}
	c.requests[request.id] = request
	if e.ran {
		run := &targetRun{host: targetHost, instance: "i", completed: e.completed}
		if e.worked != 0 {
			run.endedAt = at(e.worked)
		}
		request.runs = append(request.runs, run)
	}
	if e.targetExited != 0 {
		c.exitedAt["i"] = at(e.targetExited)
	}
	end := requestEnd{at: at(e.ended), sentAt: request.at, faultFree: !e.fault}
	if e.status == 0 {
		c.connectionClosed(request, end, errors.New("EOF"))
	} else {
		c.responseReceived(request, upstream.Response{ID: request.id, Status: e.status}, end)
	}
	violations, _ := c.result()
	return violations
}

func TestRequestLostInStop(t *testing.T) {
	for name, c := range map[string]struct {
		request endedRequest
		lost    bool
	}{
		"cut after it was passed on":                                    {endedRequest{sent: 4.5, ended: 5, ran: true}, true},
		"cut in the abort period, sent late":                            {endedRequest{sent: 3.1, ended: 5.5, ran: true}, true},
		"cut in the abort period, sent early":                           {endedRequest{sent: 2.9, ended: 5.5, ran: true}, false},
		"cut before the abort period":                                   {endedRequest{sent: 2.9, ended: 4.9, ran: true}, true},
		"cut in the abort period, run ended before":                     {endedRequest{sent: 1, ended: 5.5, ran: true, worked: 4.9, completed: true}, true},
		"cut by the target":                                             {endedRequest{sent: 1, ended: 2, ran: true, worked: 2, targetExited: 1.9}, false},
		"cut after the target completed it":                             {endedRequest{sent: 1, ended: 2, ran: true, worked: 1.5, targetExited: 1.4, completed: true}, true},
		"cut with a fault":                                              {endedRequest{sent: 4.5, ended: 5, ran: true, fault: true}, false},
		"closed as it was sent, not passed on":                          {endedRequest{sent: 4.9, ended: 5}, false},
		"closed late, not passed on":                                    {endedRequest{sent: 4.5, ended: 5}, true},
		"broken off and answered":                                       {endedRequest{sent: 1, ended: 4, ran: true, worked: 3.9, status: http.StatusBadGateway}, true},
		"broken off, answered as refused":                               {endedRequest{sent: 1, ended: 4, ran: true, status: http.StatusServiceUnavailable}, true},
		"broken off in the abort period and answered":                   {endedRequest{sent: 1, ended: 5.1, ran: true, status: http.StatusBadGateway}, false},
		"broken off by the target and answered":                         {endedRequest{sent: 1, ended: 4, ran: true, worked: 3.9, targetExited: 3.9, status: http.StatusBadGateway}, false},
		"broken off and answered, long after the stop":                  {endedRequest{sent: 7, ended: 8, ran: true, status: http.StatusBadGateway}, false},
		"broken off by the daemon of its target, which stopped earlier": {endedRequest{sent: 1, ended: 4, ran: true, targetDaemonStopped: -1.5, status: http.StatusBadGateway}, true},
		"broken off by the daemon of its target, too early":             {endedRequest{sent: 10, ended: 14, ran: true, targetDaemonStopped: 9.5, status: http.StatusBadGateway}, true},
		"broken off by the daemon of its target, in the abort period":   {endedRequest{sent: 10, ended: 14.6, ran: true, targetDaemonStopped: 9.5, status: http.StatusBadGateway}, false},
		"refused and not passed on":                                     {endedRequest{sent: 4, ended: 4, status: http.StatusServiceUnavailable}, false},
	} {
		t.Run(name, func(t *testing.T) {
			violations := c.request.violations()
			if !c.lost {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Equal(t, len(violations), 1)
			assert.Equal(t, violations[0].Rule, RequestLost)
		})
	}
}

func TestRequestLostInTwoStops(t *testing.T) {
	allowed := endedRequest{sent: 1, ended: 4, ran: true, targetDaemonStopped: -1.5, status: http.StatusBadGateway, nonIdempotent: true}
	for name, c := range map[string]struct {
		change func(*endedRequest)
		lost   bool
	}{
		"in the abort period of the target's daemon":               {func(*endedRequest) {}, false},
		"sent as late as is allowed":                               {func(e *endedRequest) { e.sent = 1.5 }, false},
		"sent later":                                               {func(e *endedRequest) { e.sent = 1.6 }, true},
		"before the abort period of the target's daemon":           {func(e *endedRequest) { e.targetDaemonStopped = -0.9 }, true},
		"before the abort period, answered in it":                  {func(e *endedRequest) { e.worked = 3.4 }, true},
		"after the grace time of the target's daemon":              {func(e *endedRequest) { e.sent, e.targetDaemonStopped = 0.5, -2.1 }, true},
		"the target's daemon has no SIGTERM":                       {func(e *endedRequest) { e.targetDaemonStopped = 0 }, true},
		"the target's daemon got SIGTERM later":                    {func(e *endedRequest) { e.targetDaemonStopped = 0.5 }, true},
		"the request may be repeated":                              {func(e *endedRequest) { e.nonIdempotent = false }, true},
		"the connection is closed in place of an answer":           {func(e *endedRequest) { e.status = 0 }, true},
		"the target completed it, and the connection is closed":    {func(e *endedRequest) { e.worked, e.completed, e.status = 3.9, true, 0 }, true},
		"in the abort periods of both, sent late for the target's": {func(e *endedRequest) { e.sent, e.ended = 2.9, 5.1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			request := allowed
			c.change(&request)
			violations := request.violations()
			if !c.lost {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Equal(t, len(violations), 1)
			assert.Equal(t, violations[0].Rule, RequestLost)
		})
	}
}

func TestStopThatOutlastsGraceIsReported(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	program := filepath.Join(dir, "stubborn")
	// The process that sleeps ignores SIGTERM, because the shell before it did.
	assert.NilError(t, os.WriteFile(program, []byte("#!/bin/sh\ntrap '' TERM\necho stubborn\nexec sleep 60\n"), 0o700))
	checker := newChecker()
	h := &host{name: "side-0", fleet: &fleet{options: Options{Binary: program}, dir: dir, checker: checker}}
	ended := make(chan error)
	go func() { ended <- h.runDaemon(t.Context()) }()
	for output := ""; output != "stubborn\n"; {
		time.Sleep(time.Millisecond)
		text, _ := os.ReadFile(h.logPath())
		output = string(text)
	}
	h.stop(t.Context())
	assert.NilError(t, <-ended)
	violations, _ := checker.result()
	assert.Equal(t, len(violations), 1, "%v", violations)
	assert.Equal(t, violations[0].Rule, UnexpectedExit)
}
