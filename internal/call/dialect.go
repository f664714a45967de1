package call

import (
	"net/http"
	"time"
)

// TargetRequest is what a dialect may tell a target of a request.
type TargetRequest struct {
	// ID identifies the call.
	ID string
	// Instance names the start of the target that is meant.
	Instance string
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
}

// ResponseClass is what an answer of a target shows of its request.
type ResponseClass int

// Judgements of answers.
const (
	// ResponseMatched answers are those to the request.
	ResponseMatched ResponseClass = iota
	// ResponseNotRun answers say that the target did not run the request and will not.
	ResponseNotRun
	// ResponseMismatched answers belong to another request.
	ResponseMismatched
)

// Dialect is how the target of this host is spoken to.
type Dialect interface {
	// Prepare sets the headers that the target expects.
	Prepare(header http.Header, request TargetRequest)
	// Classify says what an answer to a request shows.
	Classify(request TargetRequest, status int, header http.Header) ResponseClass
}
