package call

import (
	"net/http"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// IdempotencyKeys decides where and whether a call that may not be repeated runs.
type IdempotencyKeys interface {
	// Home returns the only host that may run the key.
	Home(config *publish.Configuration, service, key string) (host string, err error)
	// Claim claims the key on its home. An error means that this attempt
	// did not run and will not; it is a *once.Refusal where another attempt
	// with the key is running.
	Claim(config *publish.Configuration, service, key string) (KeyClaim, error)
}

// KeyClaim is one claimed key.
type KeyClaim interface {
	// Replay returns the answer of an earlier run.
	Replay() (*StoredResponse, bool)
	// Complete keeps the answer for later attempts. A nil answer means that
	// the target may have run the call and the answer is not known.
	Complete(answer *StoredResponse)
	// Release frees the key: nothing was handed to the target.
	Release()
}

// StoredResponse is a whole answer of a target.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}
