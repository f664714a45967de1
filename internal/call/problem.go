package call

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// maxProblemSize is the length in bytes up to which the body of an error is read.
const maxProblemSize = 4 << 10

// problem is the JSON body of an error.
type problem struct {
	Outcome Outcome `json:"outcome"`
	Step    string  `json:"step"`
	Peer    string  `json:"peer"`
	Call    string  `json:"call,omitempty"`
	Error   string  `json:"error"`
}

// writeError writes an error to a caller or to another daemon.
func writeError(w http.ResponseWriter, id string, failure *Error) {
	header := w.Header()
	header.Set(HeaderOutcome, string(failure.Outcome))
	header.Set(HeaderStep, failure.Step)
	header.Set(HeaderPeer, failure.Peer)
	header.Set("Content-Type", "application/json")
	w.WriteHeader(failure.Status)
	_ = json.NewEncoder(w).Encode(problem{
		Outcome: failure.Outcome,
		Step:    failure.Step,
		Peer:    failure.Peer,
		Call:    id,
		Error:   failure.Err.Error(),
	})
}

// readError returns the error that another daemon responded with, nil if the
// response is that of a target. The host is the one that the request was sent to.
func readError(host string, response *http.Response) *Error {
	outcome := Outcome(response.Header.Get(HeaderOutcome))
	if outcome == "" {
		return nil
	}
	if outcome != NotRun {
		outcome = Unknown
	}
	failure := &Error{
		Outcome: outcome,
		Step:    response.Header.Get(HeaderStep),
		Peer:    response.Header.Get(HeaderPeer),
		Status:  response.StatusCode,
		Err:     errors.New("no description"),
	}
	if failure.Peer == "" {
		failure.Peer = host
	}
	var described problem
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxProblemSize))
	if decoder.Decode(&described) == nil && described.Error != "" {
		failure.Err = errors.New(described.Error)
	}
	return failure
}
