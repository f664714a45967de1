package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/call"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 10 * time.Millisecond

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	step    string
	peer    string
}

func (a answer) failed() bool { return a.status != http.StatusOK }

func (a answer) String() string {
	if !a.failed() {
		return "answered"
	}
	return fmt.Sprintf("status %d, %s at step %s on %s", a.status, a.outcome, a.step, a.peer)
}

// call sends one request through one of the daemons. A key makes it a call
// that may not be repeated.
func (m *mesh) call(ctx context.Context, index int, path, key string) (answer, error) {
	address := m.hosts[index%len(m.hosts)].daemon.Addresses().Callers
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		return answer{}, fmt.Errorf("request to %s: %w", address, err)
	}
	if key != "" {
		request.Header.Set(call.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, fmt.Errorf("call through %s: %w", address, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return answer{}, fmt.Errorf("answer of %s: %w", address, err)
	}
	return answer{
		status:  response.StatusCode,
		outcome: response.Header.Get(call.HeaderOutcome),
		step:    response.Header.Get(call.HeaderStep),
		peer:    response.Header.Get(call.HeaderPeer),
	}, nil
}

// runs counts how often targets ran a key.
func (m *mesh) runs(key string) int {
	count := 0
	for _, h := range m.hosts {
		for _, run := range h.target.Records() {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}

// awaitOffset waits until every daemon has an offset in force.
func (m *mesh) awaitOffset(ctx context.Context, offset uint64) error {
	return m.await(ctx, "configuration", func(client *admin.Client) bool {
		status, err := client.Status(ctx)
		return err == nil && status.Offset >= offset
	})
}

// awaitTargets waits until every daemon knows every target as ready.
func (m *mesh) awaitTargets(ctx context.Context) error {
	return m.await(ctx, "targets", func(client *admin.Client) bool {
		members, err := client.Members(ctx)
		if err != nil {
			return false
		}
		ready := 0
		for _, member := range members.Members {
			if member.Target == "ready" {
				ready++
			}
		}
		return ready == len(m.hosts)
	})
}

// awaitKeys waits until keys of this time have a home, by making calls with
// fresh keys until one runs.
func (m *mesh) awaitKeys(ctx context.Context) error {
	return m.await(ctx, "a grant", func(*admin.Client) bool {
		key := uuid.Must(uuid.NewV7()).String()
		answer, err := m.call(ctx, 0, "/railway/work-order/probe", key)
		return err == nil && !answer.failed()
	})
}

// await waits until a condition holds on every daemon.
func (m *mesh) await(ctx context.Context, what string, holds func(*admin.Client) bool) error {
	for _, h := range m.hosts {
		client := admin.NewClient(h.daemon.Addresses().Admin, "", http.DefaultClient)
		for !holds(client) {
			if ctx.Err() != nil {
				return fmt.Errorf("wait for %s on %s: %w", what, h.place.host, ctx.Err())
			}
			sleep(ctx, pollInterval)
		}
	}
	return nil
}
