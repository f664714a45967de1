package membership

import (
	"strconv"
	"testing"

	"github.com/sourcegraph/conc"
)

// TestAnswersOfPeersDuringRecovery guards against a data race: a daemon's recovery ended, and
// read who had answered, while the answer of another peer was recorded. The race detector
// finds it.
func TestAnswersOfPeersDuringRecovery(t *testing.T) {
	const peers = 1000
	m := newUnconnected("a-0")
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for number := range peers {
			m.mu.Lock()
			m.notePeerAnswer("b-"+strconv.Itoa(number), true)
			m.lease.recovering = true
			m.mu.Unlock()
		}
	})
	tasks.Go(func() {
		for range peers {
			m.checkRecovered()
		}
	})
	tasks.Wait()
}
