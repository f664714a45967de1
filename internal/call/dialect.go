package call

import (
	"errors"
	"net/http"
	"time"
)

// TargetRequest is what a Dialect may put into the headers of a request to the
// target.
type TargetRequest struct {
	// ID identifies the call.
	ID string
	// Instance names the target process that the request is meant for. Each start
	// of a target is a new instance.
	Instance string
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
}

// ResponseClass tells how a response of the target relates to the request.
type ResponseClass int

// Classes of responses.
const (
	// ResponseMatched is a response to the request.
	ResponseMatched ResponseClass = iota
	// ResponseNotRun says that the target did not run the request and will not.
	ResponseNotRun
	// ResponseMismatched is a response to another request.
	ResponseMismatched
)

// TargetNotice is what a response says about the target itself.
type TargetNotice struct {
	RateLimit RateLimit
	// Leaving says that the target shuts down and is to get no further requests.
	Leaving bool
}

// Dialect adapts requests and responses to the headers that the target of this
// host uses.
type Dialect interface {
	// Prepare sets the headers that the target expects.
	Prepare(header http.Header, request TargetRequest)
	// Classify returns the class of a response to a request.
	Classify(request TargetRequest, status int, header http.Header) ResponseClass
	// Notice returns what a response that is not mismatched says about the instance
	// that the request was meant for. The error wraps ErrNoNotice if it says nothing
	// that can be used.
	Notice(status int, header http.Header) (TargetNotice, error)
}

// ErrNoNotice is wrapped by the error of a response without a usable TargetNotice.
var ErrNoNotice = errors.New("response has no usable notice of its target")
