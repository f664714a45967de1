package call

import (
	"context"
	"errors"
	"net/http"
)

// Steps at which a call can fail, the values of HeaderStep.
const (
	// StepConfiguration means that no configuration is active.
	StepConfiguration = "configuration"
	// StepRequest means that the request itself is invalid.
	StepRequest = "request"
	// StepRoute means that no route matches.
	StepRoute = "route"
	// StepQuota means that the quota of the caller's workspace is exhausted.
	StepQuota = "quota"
	// StepPick means that no target is available.
	StepPick = "pick"
	// StepHome means that the home of a key is unknown or unreachable.
	StepHome = "home"
	// StepKey means that the home refuses the idempotency key, or that the API key is
	// unknown.
	StepKey = "key"
	// StepHost means that the request is meant for another host, whose address
	// this one has taken over.
	StepHost = "host"
	// StepAdmit means that a limit on concurrent calls or on the queue is reached.
	StepAdmit = "admit"
	// StepDrain means that the target or its daemon is draining.
	StepDrain = "drain"
	// StepPeer means that the connection to another daemon failed.
	StepPeer = "peer"
	// StepTarget means that the target, or the connection to it, failed.
	StepTarget = "target"
	// StepShed means that the target says that it did not run the request.
	StepShed = "shed"
	// StepAnswer means that the response could not be read or does not belong to
	// the request.
	StepAnswer = "answer"
)

// statusClientClosedRequest is the status in logs of a call whose caller
// disconnected.
const statusClientClosedRequest = 499

// reported returns the error as it is sent to the client. A client taken for
// disconnected may still be connected; it gets 502 instead of
// statusClientClosedRequest.
func (e *Error) reported() *Error {
	if e.Status != statusClientClosedRequest {
		return e
	}
	reported := *e
	reported.Status = http.StatusBadGateway
	return &reported
}

// Causes of errors.
var (
	errNoConfiguration    = errors.New("no configuration is in force")
	errNoRoute            = errors.New("no such route")
	errNoID               = errors.New("request has no id")
	errUnknownAPIKey      = errors.New("no workspace has the API key of the call")
	errOverQuota          = errors.New("quota of the workspace is exhausted")
	errKeyRequired        = errors.New("route requires an idempotency key")
	errKeysNotServed      = errors.New("calls with idempotency keys are not supported by this daemon")
	errHomeUnknown        = errors.New("address of the key's home is unknown")
	errDraining           = errors.New("target accepts no new requests")
	errStopping           = errors.New("daemon is shutting down")
	errStopTimeout        = errors.New("daemon shuts down before the call has ended")
	errNoLocalTarget      = errors.New("service has no target on this host")
	errWrongHost          = errors.New("request is meant for another host")
	errResponseMismatched = errors.New("response belongs to another request")
	errProtocolSwitched   = errors.New("response switches to another protocol")
	errTargetNotRun       = errors.New("target did not run the request")
	errTooManyCalls       = errors.New("too many calls in progress")
)

// statusOf returns the status for an attempt that failed with err under ctx.
func statusOf(ctx context.Context, err error) int {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	case errors.Is(context.Cause(ctx), errStopTimeout):
		return http.StatusBadGateway
	case ctx.Err() != nil:
		return statusClientClosedRequest
	default:
		return http.StatusBadGateway
	}
}

// sendOutcome returns the outcome of an attempt that got no response.
func sendOutcome(mayHaveSent bool) Outcome {
	if mayHaveSent {
		return Unknown
	}
	return NotRun
}
