package call

import (
	"net/http"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Keys decides where and whether a call that may not be repeated runs.
type Keys interface {
	// Home returns the only host that may run the key.
	Home(config *publish.Configuration, service, key string) (host string, err error)
	// Begin claims the key on its home. An error means that this attempt
	// did not run and will not; it is a *once.Refusal where another attempt
	// with the key is running.
	Begin(config *publish.Configuration, service, key string) (KeyRun, error)
}

// KeyRun is one claimed key.
type KeyRun interface {
	// Replay returns the answer of an earlier run.
	Replay() (*StoredAnswer, bool)
	// Finish keeps the answer for later attempts. A nil answer means that
	// the target may have run the call and the answer is not known.
	Finish(answer *StoredAnswer)
	// Abandon frees the key: nothing was handed to the target.
	Abandon()
}

// StoredAnswer is a whole answer of a target.
type StoredAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}
