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

const pollInterval = 10 * time.Millisecond

// Response is the response of a daemon to a caller.
type Response struct {
	Status int
	// Outcome, Step and Peer are set if the call failed in the mesh.
	Outcome string
	Step    string
	Peer    string
}

// Failed reports whether the call got no successful response.
func (r Response) Failed() bool { return r.Status != http.StatusOK }

func (r Response) String() string {
	if !r.Failed() {
		return "answered"
	}
	return fmt.Sprintf("status %d, %s at step %s on %s", r.Status, r.Outcome, r.Step, r.Peer)
}

// Call sends one request through a daemon. A key makes it a keyed call, which may
// not be repeated.
func (m *Mesh) Call(ctx context.Context, index int, path, key string) (Response, error) {
	address := m.Hosts[index%len(m.Hosts)].Daemon.Addresses().Callers
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		return Response{}, fmt.Errorf("create request to %s: %w", address, err)
	}
	if key != "" {
		request.Header.Set(call.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{}, fmt.Errorf("call through %s: %w", address, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Response{}, fmt.Errorf("read response of %s: %w", address, err)
	}
	return Response{
		Status:  response.StatusCode,
		Outcome: response.Header.Get(call.HeaderOutcome),
		Step:    response.Header.Get(call.HeaderStep),
		Peer:    response.Header.Get(call.HeaderPeer),
	}, nil
}

// RunCount returns how often targets ran calls with a key.
func (m *Mesh) RunCount(key string) int {
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

// AwaitOffset waits until the active configuration has at least an offset on
// every daemon.
func (m *Mesh) AwaitOffset(ctx context.Context, offset uint64) error {
	return m.AwaitOffsetOn(ctx, offset, m.allIndexes()...)
}

// AwaitOffsetOn waits until the active configuration has at least an offset on
// some daemons.
func (m *Mesh) AwaitOffsetOn(ctx context.Context, offset uint64, indexes ...int) error {
	return m.await(ctx, fmt.Sprintf("offset %d", offset), indexes, func(client *admin.Client) bool {
		status, err := client.Status(ctx)
		return err == nil && status.Offset >= offset
	})
}

// allIndexes returns the indexes of all hosts.
func (m *Mesh) allIndexes() []int {
	indexes := make([]int, len(m.Hosts))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// AwaitReadyTargets waits until every daemon sees every target as ready.
func (m *Mesh) AwaitReadyTargets(ctx context.Context) error {
	return m.await(ctx, "targets", m.allIndexes(), func(client *admin.Client) bool {
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

// AwaitKeyedCalls waits until keys created now have a home host. It makes calls
// with new keys until one succeeds.
func (m *Mesh) AwaitKeyedCalls(ctx context.Context) error {
	return m.await(ctx, "a successful keyed call", m.allIndexes(), func(*admin.Client) bool {
		key := uuid.Must(uuid.NewV7()).String()
		response, err := m.Call(ctx, 0, "/railway/work-order/probe", key)
		return err == nil && !response.Failed()
	})
}

// await polls until a condition holds on some daemons.
func (m *Mesh) await(ctx context.Context, what string, indexes []int, holds func(*admin.Client) bool) error {
	for _, index := range indexes {
		client := m.Admin(index)
		for !holds(client) {
			if ctx.Err() != nil {
				return fmt.Errorf("wait for %s on %s: %w", what, m.Hosts[index].Spec.Host, ctx.Err())
			}
			wait.For(ctx, pollInterval)
		}
	}
	return nil
}
