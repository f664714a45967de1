// Package upstream is a stand-in for an upstream of the users' platform. It executes
// requests in a bounded number of slots, signs its responses, sends heartbeats to
// the daemon of its host, drains and deregisters. It can inject faults into its
// responses. The package also contains a client that sends requests as a caller.
package upstream

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// Headers of requests and responses.
const (
	headerRequestID   = "Request-Id"
	headerInstance    = "Target-Instance"
	headerSignature   = "Response-Signature"
	headerNotExecuted = "Not-Executed"
	headerCaller      = "Caller-Service"
	headerDeadline    = "Deadline-Ms"
	headerRateLimit   = "Server-Limit"
	headerLeaving     = "Server-Leaving"
)

// heartbeatInterval is the time between two heartbeats, and heartbeatTimeout bounds
// the time of one.
const (
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = time.Second
)

// Behaviour determines how requests are executed and what the responses are.
type Behaviour struct {
	// Delay is the execution time of a request.
	Delay time.Duration
	// Status is the status of the response to an executed request, 0 for 200.
	Status int
	// Shed responds with status 503 without executing the request.
	Shed bool
	// DropResponse executes the request and closes the connection without a
	// response.
	DropResponse bool
	// DuplicateResponse sends a response a second time, in place of the response
	// to the next request on the connection.
	DuplicateResponse bool
	// TruncateResponse sends fewer bytes than Content-Length says.
	TruncateResponse bool
	// CloseDelimited sends a response without Content-Length that ends when the
	// connection is closed.
	CloseDelimited bool
	// StaleRefusal executes the request and sends the refusal of an earlier request
	// in place of the response, with the ID of that request unless it is empty.
	StaleRefusal bool
	StaleID      string
	// ResponsePrefix, if it is above 0, is the number of bytes of the response after
	// which the connection is closed.
	ResponsePrefix int
	// RateLimit is the rate limit that responses name, empty for none.
	RateLimit string
	// Leaving makes responses say that the upstream leaves.
	Leaving bool
}

// Run is one executed request.
type Run struct {
	// Started is when the execution began.
	Started time.Time
	ID      string
	Header  http.Header
	Path    string
	Body    string
}

// Caller returns the service in the Caller-Service header.
func (r Run) Caller() string { return r.Header.Get(headerCaller) }

// ResponseBody returns the body of the response to a request.
func ResponseBody(id, body string) string { return "answer to " + id + " " + body }

// Options of an upstream.
type Options struct {
	ID      string
	Service string
	// Version is the version of the program, "v1" if empty.
	Version string
	Slots   int
	// DaemonAddress is the address to which heartbeats are sent.
	DaemonAddress string
	// StartedUnixMs is the reported start time in Unix milliseconds.
	StartedUnixMs int64
	// Listen is the address to listen on; empty means "127.0.0.1:0".
	Listen string
	// OnRun is called when the execution of a request starts. If it is nil, Runs
	// returns the requests.
	OnRun func(Run)
	// OnRunEnd is called when an execution ends, unless nil. completed is false if
	// the connection of the request ended first.
	OnRunEnd func(run Run, completed bool)
	// ExecutionTime returns what the execution of a request takes in addition to
	// Behaviour.Delay. If it is nil, that is nothing.
	ExecutionTime func(path string) time.Duration
}

// Upstream is one stand-in upstream.
type Upstream struct {
	options  Options
	listener net.Listener
	client   *http.Client

	mu        sync.Mutex
	behaviour Behaviour
	active    int
	runs      []Run
	state     string
	sequence  uint64
	// heartbeatsStopped is set by StopHeartbeats.
	heartbeatsStopped bool
}

// New returns an upstream that already listens. It serves once Run is called.
func New(options Options) (*Upstream, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: %w", options.ID, err)
	}
	return &Upstream{
		options:  options,
		listener: listener,
		client:   &http.Client{Timeout: heartbeatTimeout},
		state:    "ready",
	}, nil
}

// Address returns the address that the upstream serves on, "IP:port".
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// SetBehaviour changes the behaviour.
func (u *Upstream) SetBehaviour(behaviour Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = behaviour
}

// Runs returns the executed requests in the order in which they started. It is empty
// if Options.OnRun is set.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// StopHeartbeats stops the periodic heartbeats.
func (u *Upstream) StopHeartbeats() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heartbeatsStopped = true
}

// Run serves and sends heartbeats until ctx is done.
func (u *Upstream) Run(ctx context.Context) {
	server := &http.Server{Handler: u}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var heartbeats conc.WaitGroup
	defer heartbeats.Wait()
	heartbeats.Go(func() {
		for ctx.Err() == nil {
			u.mu.Lock()
			stopped := u.heartbeatsStopped
			u.mu.Unlock()
			if !stopped {
				// A failed heartbeat is not retried: the next one replaces it.
				_ = u.SendHeartbeat(ctx)
			}
			wait.For(ctx, heartbeatInterval)
		}
	})
	_ = server.Serve(u.listener)
}

// Drain sends a heartbeat with the state "draining" and returns once it has been
// acknowledged.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	return u.SendHeartbeat(ctx)
}

// Deregister stops the heartbeats and deregisters the upstream.
func (u *Upstream) Deregister(ctx context.Context) error {
	u.StopHeartbeats()
	return u.post(ctx, "/Instances.Deregister/"+u.options.ID, map[string]any{"born": u.options.StartedUnixMs})
}

// SendHeartbeat sends one heartbeat.
func (u *Upstream) SendHeartbeat(ctx context.Context) error {
	u.mu.Lock()
	u.sequence++
	body := u.heartbeat(u.state, u.sequence)
	u.mu.Unlock()
	return u.post(ctx, "/Instances.Heartbeat/"+u.options.ID, body)
}

// SendStaleHeartbeat sends a heartbeat with an earlier state and sequence number, as
// if the network had delayed it.
func (u *Upstream) SendStaleHeartbeat(ctx context.Context, state string, sequence uint64) error {
	return u.post(ctx, "/Instances.Heartbeat/"+u.options.ID, u.heartbeat(state, sequence))
}

func (u *Upstream) heartbeat(state string, sequence uint64) map[string]any {
	return map[string]any{
		"address":   u.Address(),
		"born":      u.options.StartedUnixMs,
		"node_info": map[string]any{"service": u.options.Service, "version": cmp.Or(u.options.Version, "v1"), "zone": "z", "slots": u.options.Slots},
		"status":    map[string]any{"state": state, "sequence": sequence, "cold_left_s": 0},
	}
}

func (u *Upstream) post(ctx context.Context, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.options.DaemonAddress+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := u.client.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("%s: status %d: %s", path, response.StatusCode, text)
	}
	return nil
}

// ServeHTTP executes or rejects one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if instance := r.Header.Get(headerInstance); instance != "" && instance != u.options.ID {
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.Header().Set("Instance-Id", u.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{Started: time.Now(), ID: r.Header.Get(headerRequestID), Header: r.Header.Clone(), Path: r.RequestURI, Body: string(body)}
	behaviour, ok := u.startRun(run)
	if !ok {
		w.Header().Set(headerRequestID, run.ID)
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	completed := wait.For(r.Context(), u.executionTime(run, behaviour))
	u.endRun(run, completed)
	u.writeResponse(w, r, behaviour, body)
}

func (u *Upstream) executionTime(run Run, behaviour Behaviour) time.Duration {
	if u.options.ExecutionTime == nil {
		return behaviour.Delay
	}
	return behaviour.Delay + u.options.ExecutionTime(run.Path)
}

// startRun acquires a slot and records the run. It reports whether the request may
// be executed.
func (u *Upstream) startRun(run Run) (Behaviour, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.behaviour.Shed || u.active >= u.options.Slots {
		return u.behaviour, false
	}
	u.active++
	if u.options.OnRun != nil {
		u.options.OnRun(run)
		return u.behaviour, true
	}
	u.runs = append(u.runs, run)
	return u.behaviour, true
}

// endRun releases the slot of a run.
func (u *Upstream) endRun(run Run, completed bool) {
	u.mu.Lock()
	u.active--
	u.mu.Unlock()
	if u.options.OnRunEnd != nil {
		u.options.OnRunEnd(run, completed)
	}
}

func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, behaviour Behaviour, body []byte) {
	id := r.Header.Get(headerRequestID)
	text := []byte(ResponseBody(id, string(body)))
	status := behaviour.Status
	if status == 0 {
		status = http.StatusOK
	}
	if rawResponse := behaviour.rawResponse(id, status, text); rawResponse != nil {
		u.writeRaw(w, rawResponse, behaviour.DuplicateResponse)
		return
	}
	if behaviour.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set(headerSignature, u.options.ID+"."+id)
	if behaviour.RateLimit != "" {
		w.Header().Set(headerRateLimit, behaviour.RateLimit)
	}
	if behaviour.Leaving {
		w.Header().Set(headerLeaving, "1")
	}
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// rawResponse returns the bytes of a response that net/http would not send. It
// returns nil for any other response.
func (b Behaviour) rawResponse(id string, status int, text []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d OK\r\n%s: %s\r\n%s: s.%s\r\n", status, headerRequestID, id, headerSignature, id)
	withContentLength := func(length int) []byte {
		return append(fmt.Appendf([]byte(head), "Content-Length: %d\r\n\r\n", length), text...)
	}
	switch {
	case b.StaleRefusal:
		return staleRefusal(b.StaleID)
	case b.ResponsePrefix > 0:
		whole := withContentLength(len(text))
		return whole[:min(b.ResponsePrefix, len(whole))]
	case b.DuplicateResponse:
		return withContentLength(len(text))
	case b.TruncateResponse:
		return withContentLength(len(text) + 10)
	case b.CloseDelimited:
		return append([]byte(head+"\r\n"), text...)
	default:
		return nil
	}
}

// staleRefusal returns the refusal of an earlier request, or of one without an ID.
func staleRefusal(id string) []byte {
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n", headerNotExecuted)
	if id != "" {
		refusal += fmt.Sprintf("%s: %s\r\n", headerRequestID, id)
	}
	return []byte(refusal + "Content-Length: 0\r\n\r\n")
}

// writeRaw writes a response to the connection and closes the connection. If
// duplicate is true, it first reads the next request and writes the same response to
// it without executing it.
func (u *Upstream) writeRaw(w http.ResponseWriter, rawResponse []byte, duplicate bool) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(rawResponse)
	if !duplicate {
		return
	}
	if _, err := http.ReadRequest(buffered.Reader); err == nil {
		_, _ = conn.Write(rawResponse)
	}
}
