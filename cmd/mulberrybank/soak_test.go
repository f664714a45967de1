package main_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/soak"
)

// soakPlan is a plan that CI plays.
type soakPlan struct {
	seed   uint64
	length time.Duration
}

// soakPlans are short plans of fixed seeds, and those that once found a fault.
var soakPlans = []soakPlan{
	{seed: 1, length: 8 * time.Second},
	{seed: 2, length: 8 * time.Second},
	// A daemon that was paused took each later request on a kept connection for
	// cancelled: a bound on reads had passed meanwhile.
	{seed: 500, length: 20 * time.Second},
}

// TestSoakKeepsThePromises plays plans against separate processes.
func TestSoakKeepsThePromises(t *testing.T) {
	for _, plan := range soakPlans {
		t.Run(strconv.FormatUint(plan.seed, 10), func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{
				Binary: binary, Seed: plan.seed, Length: plan.length, Machines: 6, Callers: 2, WorkDir: t.TempDir(),
			})
			assert.NilError(t, err)
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			assert.Assert(t, report.Counts.Answered > 0)
		})
	}
}

// middleman stands between callers and a daemon and breaks a promise.
type middleman struct {
	daemon, target string
	plant          func(m *middleman, w http.ResponseWriter, r *http.Request, body []byte)
	count          atomic.Int64
}

// forward sends a request on and returns the whole answer.
func (m *middleman) forward(address string, r *http.Request, body []byte) (*http.Response, []byte, error) {
	out, err := http.NewRequest(r.Method, "http://"+address+r.RequestURI, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	out.Host, out.Header = r.Host, r.Header.Clone()
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(out)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response, answer, err
}

// pass forwards a request and its answer unchanged.
func (m *middleman) pass(w http.ResponseWriter, r *http.Request, body []byte) (status int) {
	response, answer, err := m.forward(m.daemon, r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for _, name := range []string{"Request-Id", "Response-Signature", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(answer)
	return response.StatusCode
}

func (m *middleman) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m.plant(m, w, r, body)
}

// serve starts the middleman until ctx ends and returns its address.
func (m *middleman) serve(ctx context.Context, t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(m)
	server.Listener = listener
	server.Start()
	context.AfterFunc(ctx, server.CloseClientConnections)
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// plants break one promise each, now and then.
var plants = map[soak.Rule]func(m *middleman, w http.ResponseWriter, r *http.Request, body []byte){
	soak.Twice: func(m *middleman, w http.ResponseWriter, r *http.Request, body []byte) {
		if strings.HasPrefix(r.URL.Path, "/charge/") && m.count.Add(1)%10 == 0 {
			_, _, _ = m.forward(m.daemon, r, body)
		}
		m.pass(w, r, body)
	},
	soak.Refused: func(m *middleman, w http.ResponseWriter, r *http.Request, body []byte) {
		if !strings.HasPrefix(r.URL.Path, "/charge/") || m.count.Add(1)%10 != 0 {
			m.pass(w, r, body)
			return
		}
		_, _, _ = m.forward(m.daemon, r, body)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	soak.Mixed: func(m *middleman, w http.ResponseWriter, r *http.Request, body []byte) {
		response, answer, err := m.forward(m.daemon, r, body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(answer[:len(answer)/2])
	},
	soak.Back: func(m *middleman, w http.ResponseWriter, r *http.Request, body []byte) {
		if strings.HasPrefix(r.URL.Path, "/at/1/") && m.count.Add(1)%2 == 0 {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusNotFound)
			return
		}
		m.pass(w, r, body)
	},
	soak.Drained: func(m *middleman, w http.ResponseWriter, r *http.Request, body []byte) {
		if _, _, err := m.forward(m.target, r, body); err != nil {
			panic(http.ErrAbortHandler)
		}
		m.pass(w, r, body)
	},
}

// TestSoakFindsPlantedFaults has something between the callers and the daemons
// break one promise at a time, and the soak find it.
func TestSoakFindsPlantedFaults(t *testing.T) {
	for rule, plant := range plants {
		t.Run(string(rule), func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{
				Binary: binary, Seed: 3, Length: 2 * time.Second, Machines: 6, Callers: 2, WorkDir: t.TempDir(),
				Kinds: []soak.Kind{soak.Replace, soak.Publish},
				Between: func(ctx context.Context, _, daemon, target string) string {
					m := &middleman{daemon: daemon, target: target, plant: plant}
					return m.serve(ctx, t)
				},
			})
			assert.NilError(t, err)
			found := false
			for _, violation := range report.Violations {
				found = found || violation.Rule == rule
			}
			assert.Assert(t, found, "%v", report.Violations)
		})
	}
}
