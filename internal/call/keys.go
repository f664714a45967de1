package call

import (
	"net/http"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// IdempotencyKeys decides on which host a call with an idempotency key runs, and
// keeps it from running twice.
type IdempotencyKeys interface {
	// Home returns the only host that may run calls with the key.
	Home(config *publish.Configuration, service, key string) (host string, err error)
	// Claim reserves the key on its home. An error means that this attempt did not
	// run and will not; it is a *once.Refusal if another attempt with the key is
	// running or has run.
	Claim(config *publish.Configuration, service, key string) (KeyClaim, error)
}

// KeyClaim is the reservation of one key.
type KeyClaim interface {
	// Replay returns the stored response of an earlier run.
	Replay() (*StoredResponse, bool)
	// Complete stores the response for later attempts. A nil response means that
	// the target may have run the call and its response is unknown.
	Complete(response *StoredResponse)
	// Release frees the key: nothing was sent to the target.
	Release()
}

// StoredResponse is a complete response of a target.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}
