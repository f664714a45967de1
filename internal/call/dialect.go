package call

import (
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

// Dialect adapts requests and responses to the headers that the target of this
// host uses.
type Dialect interface {
	// Prepare sets the headers that the target expects.
	Prepare(header http.Header, request TargetRequest)
	// Classify returns the class of a response to a request.
	Classify(request TargetRequest, status int, header http.Header) ResponseClass
}
