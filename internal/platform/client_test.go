package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

const (
	stream       = "configuration"
	longTimeout  = 10 * time.Second
	shortTimeout = 50 * time.Millisecond
)

func startLog(t *testing.T, options logservice.Options) (*logservice.Service, *httptest.Server) {
	service := logservice.New(options)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return service, server
}

// nextOffset returns the offset of the next append, read from the service without
// the client.
func nextOffset(t *testing.T, service *logservice.Service) uint64 {
	t.Helper()
	result, err := service.Read(t.Context(), stream, 1, 0)
	assert.NilError(t, err)
	return result.Next
}

func TestRecordsAreReadAsAppended(t *testing.T) {
	_, server := startLog(t, logservice.Options{})
	client := platform.NewClient(server.URL, longTimeout, nil)
	for i, payload := range []string{"a", "b", ""} {
		offset, err := client.Append(t.Context(), stream, []byte(payload))
		assert.NilError(t, err)
		assert.Equal(t, offset, uint64(i+1))
	}
	result, err := client.Read(t.Context(), stream, 2, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(result.Records), 2)
	assert.Equal(t, string(result.Records[0].Payload), "b")
	assert.Equal(t, result.Next, uint64(4))
	other, err := client.Read(t.Context(), "snapshots", 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, other.Next, uint64(1))
}

func TestReadWaitsForAnAppend(t *testing.T) {
	service, server := startLog(t, logservice.Options{})
	client := platform.NewClient(server.URL, longTimeout, nil)
	results := make(chan platform.ReadResult, 1)
	go func() {
		result, _ := client.Read(t.Context(), stream, 1, longTimeout)
		results <- result
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if service.Counts().Reads > 0 {
			return poll.Success()
		}
		return poll.Continue("no read yet")
	}, poll.WithDelay(time.Millisecond))
	_, err := client.Append(t.Context(), stream, []byte("a"))
	assert.NilError(t, err)
	assert.Equal(t, len((<-results).Records), 1)
}

func TestReadOfExpiredOffset(t *testing.T) {
	_, server := startLog(t, logservice.Options{MaxRecords: 2})
	client := platform.NewClient(server.URL, longTimeout, nil)
	for range 5 {
		_, err := client.Append(t.Context(), stream, []byte("a"))
		assert.NilError(t, err)
	}
	result, err := client.Read(t.Context(), stream, 1, 0)
	var expired *platform.ExpiredError
	assert.Assert(t, errors.As(err, &expired))
	assert.Equal(t, expired.Oldest, uint64(4))
	assert.Equal(t, result.Next, uint64(6))
}

func TestErrRefusedOnlyIfNothingWasWritten(t *testing.T) {
	service, server := startLog(t, logservice.Options{})
	client := platform.NewClient(server.URL, longTimeout, nil)
	service.SetFaults(logservice.Faults{Refuse: true})
	_, err := client.Append(t.Context(), stream, []byte("a"))
	assert.ErrorIs(t, err, platform.ErrRefused)
	_, err = client.Read(t.Context(), stream, 1, 0)
	var status *platform.StatusError
	assert.Assert(t, errors.As(err, &status))
	assert.Equal(t, status.Status, http.StatusServiceUnavailable)
	service.SetFaults(logservice.Faults{})
	assert.Equal(t, nextOffset(t, service), uint64(1))

	server.Close()
	// A new client has no idle connection. On an idle connection the response
	// could be lost, and the error would be ErrUnknown.
	freshClient := platform.NewClient(server.URL, longTimeout, nil)
	_, err = freshClient.Append(t.Context(), stream, []byte("a"))
	assert.ErrorIs(t, err, platform.ErrRefused)
	assert.Equal(t, nextOffset(t, service), uint64(1))
}

func TestLostResponseIsUnknownAndNotRetried(t *testing.T) {
	service, server := startLog(t, logservice.Options{})
	client := platform.NewClient(server.URL, longTimeout, nil)
	// The first append leaves an idle connection. On such a connection a
	// transport may retry requests that it considers idempotent.
	_, err := client.Append(t.Context(), stream, []byte("a"))
	assert.NilError(t, err)
	service.SetFaults(logservice.Faults{DropResponses: true})
	_, err = client.Append(t.Context(), stream, []byte("b"))
	assert.ErrorIs(t, err, platform.ErrUnknown)
	assert.Equal(t, nextOffset(t, service), uint64(3))
	assert.Equal(t, service.Counts().DroppedResponses, uint64(1))
}

func TestSilentServiceTimesOut(t *testing.T) {
	service, server := startLog(t, logservice.Options{})
	client := platform.NewClient(server.URL, shortTimeout, nil)
	service.SetFaults(logservice.Faults{Silent: true})
	_, err := client.Append(t.Context(), stream, []byte("a"))
	assert.ErrorIs(t, err, platform.ErrUnknown)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = client.Read(t.Context(), stream, 1, 0)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// transportFunc implements http.RoundTripper.
type transportFunc func(*http.Request) (*http.Response, error)

// RoundTrip calls the function.
func (f transportFunc) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }

func TestOnlyDialErrorsAreRefusals(t *testing.T) {
	for op, want := range map[string]error{
		"dial":  platform.ErrRefused,
		"read":  platform.ErrUnknown,
		"write": platform.ErrUnknown,
	} {
		transport := transportFunc(func(*http.Request) (*http.Response, error) {
			return nil, &net.OpError{Op: op, Err: syscall.ECONNRESET}
		})
		client := platform.NewClient("http://log.example", longTimeout, transport)
		_, err := client.Append(t.Context(), stream, []byte("a"))
		assert.ErrorIs(t, err, want, op)
	}
}

func TestOtherAppendResponsesAreUnknown(t *testing.T) {
	for _, status := range []int{http.StatusBadGateway, http.StatusTemporaryRedirect, http.StatusGone, http.StatusOK} {
		requests := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests++
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		}))
		client := platform.NewClient(server.URL, longTimeout, nil)
		_, err := client.Append(t.Context(), stream, []byte("a"))
		server.Close()
		assert.ErrorIs(t, err, platform.ErrUnknown)
		assert.Equal(t, requests, 1)
	}
}

// TestSilentConnectionIsReplaced makes the open connection of a client stop
// responding, once while it is idle and once during a long read. The request on
// that connection must time out, and later requests must use a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	service, server := startLog(t, logservice.Options{})
	client := platform.NewClient(server.URL, shortTimeout, nil)
	_, err := client.Append(t.Context(), stream, []byte("a"))
	assert.NilError(t, err)

	service.SetFaults(logservice.Faults{SilenceOpenConnections: true})
	_, err = client.Append(t.Context(), stream, []byte("b"))
	assert.ErrorIs(t, err, platform.ErrUnknown)
	assert.Equal(t, nextOffset(t, service), uint64(2))
	_, err = client.Append(t.Context(), stream, []byte("c"))
	assert.NilError(t, err)

	failures := make(chan error, 1)
	reads := service.Counts().Reads
	go func() {
		_, err := client.Read(t.Context(), stream, 3, 4*shortTimeout)
		failures <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if service.Counts().Reads > reads {
			return poll.Success()
		}
		return poll.Continue("no read yet")
	}, poll.WithDelay(time.Millisecond))
	service.SetFaults(logservice.Faults{SilenceOpenConnections: true})
	assert.ErrorIs(t, <-failures, context.DeadlineExceeded)
	result, err := client.Read(t.Context(), stream, 2, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(result.Records), 1)
}

func TestDelayedResponse(t *testing.T) {
	service, server := startLog(t, logservice.Options{})
	client := platform.NewClient(server.URL, longTimeout, nil)
	service.SetFaults(logservice.Faults{DelayMillis: 5})
	offset, err := client.Append(t.Context(), stream, []byte("a"))
	assert.NilError(t, err)
	assert.Equal(t, offset, uint64(1))
}
