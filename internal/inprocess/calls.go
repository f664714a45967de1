package inprocess

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 10 * time.Millisecond

// Answer is what a caller got.
type Answer struct {
	Status int
	// Outcome, Step and Peer are set on errors.
	Outcome string
	Step    string
	Peer    string
}

// Failed reports whether the call was not answered by its target.
func (a Answer) Failed() bool { return a.Status != http.StatusOK }

func (a Answer) String() string {
	if !a.Failed() {
		return "answered"
	}
	return fmt.Sprintf("status %d, %s at step %s on %s", a.Status, a.Outcome, a.Step, a.Peer)
}

// Call sends one request through one of the daemons. A key makes it a call
// that may not be repeated.
func (m *Mesh) Call(ctx context.Context, index int, path, key string) (Answer, error) {
	address := m.Hosts[index%len(m.Hosts)].Daemon.Addresses().Callers
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		return Answer{}, fmt.Errorf("request to %s: %w", address, err)
	}
	if key != "" {
		request.Header.Set(call.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Answer{}, fmt.Errorf("call through %s: %w", address, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Answer{}, fmt.Errorf("answer of %s: %w", address, err)
	}
	return Answer{
		Status:  response.StatusCode,
		Outcome: response.Header.Get(call.HeaderOutcome),
		Step:    response.Header.Get(call.HeaderStep),
		Peer:    response.Header.Get(call.HeaderPeer),
	}, nil
}

// Runs counts how often targets ran a key.
func (m *Mesh) Runs(key string) int {
	count := 0
	for _, h := range m.Hosts {
		for _, run := range h.Target.Runs() {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}

// AwaitOffset waits until every daemon has an offset in force.
func (m *Mesh) AwaitOffset(ctx context.Context, offset uint64) error {
	return m.AwaitOffsetOn(ctx, offset, m.all()...)
}

// AwaitOffsetOn waits until some daemons have an offset in force.
func (m *Mesh) AwaitOffsetOn(ctx context.Context, offset uint64, indexes ...int) error {
	return m.await(ctx, fmt.Sprintf("offset %d", offset), indexes, func(client *admin.Client) bool {
		status, err := client.Status(ctx)
		return err == nil && status.Offset >= offset
	})
}

// all returns the indexes of all hosts.
func (m *Mesh) all() []int {
	indexes := make([]int, len(m.Hosts))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// AwaitTargets waits until every daemon knows every target as ready.
func (m *Mesh) AwaitTargets(ctx context.Context) error {
	return m.await(ctx, "targets", m.all(), func(client *admin.Client) bool {
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
		return ready == len(m.Hosts)
	})
}

// AwaitKeys waits until keys of this time have a home, by making calls with
// fresh keys until one runs.
func (m *Mesh) AwaitKeys(ctx context.Context) error {
	return m.await(ctx, "a grant", m.all(), func(*admin.Client) bool {
		key := uuid.Must(uuid.NewV7()).String()
		answer, err := m.Call(ctx, 0, "/railway/work-order/probe", key)
		return err == nil && !answer.Failed()
	})
}

// await waits until a condition holds on some daemons.
func (m *Mesh) await(ctx context.Context, what string, indexes []int, holds func(*admin.Client) bool) error {
	for _, index := range indexes {
		client := m.Admin(index)
		for !holds(client) {
			if ctx.Err() != nil {
				return fmt.Errorf("wait for %s on %s: %w", what, m.Hosts[index].Place.Host, ctx.Err())
			}
			wait.For(ctx, pollInterval)
		}
	}
	return nil
}
