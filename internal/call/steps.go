package call

import (
	"context"
	"errors"
	"net/http"
)

// Steps at which a call can fail.
const (
	// StepConfiguration fails while no configuration is in force.
	StepConfiguration = "configuration"
	// StepRequest fails when the request itself is at fault.
	StepRequest = "request"
	// StepRoute fails when there is no such route.
	StepRoute = "route"
	// StepPick fails when no target may take the call.
	StepPick = "pick"
	// StepHome fails when the home of a key is not known or not in contact.
	StepHome = "home"
	// StepKey fails when the home refuses a key.
	StepKey = "key"
	// StepHost fails when a request is meant for another host, whose address this
	// one has taken over.
	StepHost = "host"
	// StepAdmit fails when limits allow no more.
	StepAdmit = "admit"
	// StepDrain fails when the target or its daemon is leaving.
	StepDrain = "drain"
	// StepPeer fails on the way to another daemon.
	StepPeer = "peer"
	// StepTarget fails at the target or on the way to it.
	StepTarget = "target"
	// StepShed fails when the target itself says that it did not run a request.
	StepShed = "shed"
	// StepAnswer fails while an answer is read.
	StepAnswer = "answer"
)

// statusCallerGone is for logs: the caller is no longer there to see it.
const statusCallerGone = 499

// told returns the error as it is told to whoever asked. A caller that was taken
// for gone may still be there.
func (e *Error) told() *Error {
	if e.Status != statusCallerGone {
		return e
	}
	told := *e
	told.Status = http.StatusBadGateway
	return &told
}

// Errors that are not those of a library.
var (
	errNoConfiguration = errors.New("no configuration is in force")
	errNoRoute         = errors.New("no such route")
	errNoID            = errors.New("the request has no id")
	errNoKey           = errors.New("the route requires a key")
	errNoKeys          = errors.New("calls with keys are not served here")
	errNoHome          = errors.New("home is not known here")
	errDraining        = errors.New("target takes no new calls")
	errStopping        = errors.New("this daemon stops")
	errNoTargetHere    = errors.New("no such target on this host")
	errOtherHost       = errors.New("the request is meant for another host")
	errCrossed         = errors.New("answer belongs to another request")
	errShed            = errors.New("target did not run the request")
	errTooManyCalls    = errors.New("too many calls in progress")
)

// statusOf returns the status of a call that a context or a connection ended.
func statusOf(ctx context.Context, err error) int {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	case ctx.Err() != nil:
		return statusCallerGone
	default:
		return http.StatusBadGateway
	}
}

// outcomeOf is the outcome of an attempt that failed after handing on, or not.
func outcomeOf(handed bool) Outcome {
	if handed {
		return Unknown
	}
	return NotRun
}
