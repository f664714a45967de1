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
	// Left is the time until the deadline of the call.
	Left time.Duration
}

// Judgement is what an answer of a target shows of its request.
type Judgement int

// Judgements of answers.
const (
	// Ran answers are those to the request.
	Ran Judgement = iota
	// Shed answers say that the target did not run the request and will not.
	Shed
	// Foreign answers belong to another request.
	Foreign
)

// Dialect is how the target of this host is spoken to.
type Dialect interface {
	// Prepare sets the headers that the target expects.
	Prepare(header http.Header, request TargetRequest)
	// Judge says what an answer to a request shows.
	Judge(request TargetRequest, status int, header http.Header) Judgement
}
