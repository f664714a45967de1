// Package upstream stands in for an upstream of the users' platform: it runs
// requests in slots, signs its answers, sends heartbeats to the daemon of its
// machine and leaves in the ways that upstreams leave. It can fail as they do.
package upstream

import (
	"bytes"
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

// Headers of requests and answers.
const (
	headerID          = "Request-Id"
	headerInstance    = "Target-Instance"
	headerSignature   = "Response-Signature"
	headerNotExecuted = "Not-Executed"
	headerCaller      = "Caller-Service"
	headerDeadline    = "Deadline-Ms"
)

// heartbeatInterval is the time between two heartbeats, heartbeatTimeout bounds one.
const (
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = time.Second
)

// Behaviour says how requests are answered.
type Behaviour struct {
	// Delay is how long a request runs.
	Delay time.Duration
	// Status is the status of a run request, 0 for 200.
	Status int
	// Shed answers 503 and runs nothing.
	Shed bool
	// DropResponse runs the request and closes the connection.
	DropResponse bool
	// DuplicateResponse sends an answer a second time, where that to the next request on the
	// connection is due.
	DuplicateResponse bool
	// TruncateResponse announces more bytes than it sends.
	TruncateResponse bool
	// CloseDelimited sends an answer without length that ends with its connection.
	CloseDelimited bool
}

// Run is one request that was run.
type Run struct {
	ID     string
	Header http.Header
	Path   string
	Body   string
}

// Caller returns the service that a run names as its caller.
func (r Run) Caller() string { return r.Header.Get(headerCaller) }

// ResponseBody returns the body of the answer to a request.
func ResponseBody(id, body string) string { return "answer to " + id + " " + body }

// Options of an upstream.
type Options struct {
	ID      string
	Service string
	Slots   int
	// DaemonAddress is the address that takes heartbeats.
	DaemonAddress string
	// StartedUnixMs is its start in milliseconds since 1970.
	StartedUnixMs int64
	// Listen is where it serves, "127.0.0.1:0" when empty.
	Listen string
	// OnRun is told of each request that begins to run, nil for nobody.
	OnRun func(Run)
}

// Upstream is one running upstream.
type Upstream struct {
	options  Options
	listener net.Listener
	client   *http.Client

	mu        sync.Mutex
	behaviour Behaviour
	busy      int
	runs      []Run
	state     string
	sequence  uint64
	silent    bool
}

// New opens the listener of an upstream.
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

// Address is where the upstream serves.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// SetBehaviour changes the behaviour.
func (u *Upstream) SetBehaviour(behaviour Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = behaviour
}

// Runs returns the requests that were run, in the order of their begin, unless
// Options.OnRun takes them.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// StopHeartbeats stops the heartbeats.
func (u *Upstream) StopHeartbeats() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
}

// Run serves and sends heartbeats until ctx ends.
func (u *Upstream) Run(ctx context.Context) {
	server := &http.Server{Handler: u}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var beats conc.WaitGroup
	defer beats.Wait()
	beats.Go(func() {
		for ctx.Err() == nil {
			u.mu.Lock()
			silent := u.silent
			u.mu.Unlock()
			if !silent {
				// A heartbeat that fails is sent again with the next.
				_ = u.SendHeartbeat(ctx)
			}
			wait.For(ctx, heartbeatInterval)
		}
	})
	_ = server.Serve(u.listener)
}

// Drain reports that the upstream leaves. It returns once that is acknowledged.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	return u.SendHeartbeat(ctx)
}

// Deregister says that the upstream is gone. It sends no heartbeat after it.
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

// SendStaleHeartbeat sends an earlier heartbeat again, as a partition may.
func (u *Upstream) SendStaleHeartbeat(ctx context.Context, state string, sequence uint64) error {
	return u.post(ctx, "/Instances.Heartbeat/"+u.options.ID, u.heartbeat(state, sequence))
}

func (u *Upstream) heartbeat(state string, sequence uint64) map[string]any {
	return map[string]any{
		"address":   u.Address(),
		"born":      u.options.StartedUnixMs,
		"node_info": map[string]any{"service": u.options.Service, "version": "v1", "zone": "z", "slots": u.options.Slots},
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

// ServeHTTP runs one request or refuses it.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if instance := r.Header.Get(headerInstance); instance != "" && instance != u.options.ID {
		w.Header().Set("Instance-Id", u.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	behaviour, ok := u.begin(r, string(body))
	if !ok {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wait.For(r.Context(), behaviour.Delay)
	u.mu.Lock()
	u.busy--
	u.mu.Unlock()
	u.answer(w, r, behaviour, body)
}

// begin takes a slot and records the run.
func (u *Upstream) begin(r *http.Request, body string) (Behaviour, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.behaviour.Shed || u.busy >= u.options.Slots {
		return u.behaviour, false
	}
	u.busy++
	run := Run{ID: r.Header.Get(headerID), Header: r.Header.Clone(), Path: r.RequestURI, Body: body}
	if u.options.OnRun != nil {
		u.options.OnRun(run)
		return u.behaviour, true
	}
	u.runs = append(u.runs, run)
	return u.behaviour, true
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, behaviour Behaviour, body []byte) {
	id := r.Header.Get(headerID)
	text := []byte(ResponseBody(id, string(body)))
	status := behaviour.Status
	if status == 0 {
		status = http.StatusOK
	}
	if raw := behaviour.raw(id, status, text); raw != nil {
		u.answerRaw(w, raw, behaviour.DuplicateResponse)
		return
	}
	if behaviour.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerID, id)
	w.Header().Set(headerSignature, u.options.ID+"."+id)
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// raw returns the bytes of an answer that a library would not send, nil for
// one that it would.
func (b Behaviour) raw(id string, status int, text []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d OK\r\n%s: %s\r\n%s: s.%s\r\n", status, headerID, id, headerSignature, id)
	framed := func(length int) []byte {
		return append(fmt.Appendf([]byte(head), "Content-Length: %d\r\n\r\n", length), text...)
	}
	switch {
	case b.DuplicateResponse:
		return framed(len(text))
	case b.TruncateResponse:
		return framed(len(text) + 10)
	case b.CloseDelimited:
		return append([]byte(head+"\r\n"), text...)
	default:
		return nil
	}
}

// answerRaw writes bytes to the connection and closes it. With extra it writes
// them again as the answer to the next request, which is not run.
func (u *Upstream) answerRaw(w http.ResponseWriter, raw []byte, extra bool) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(raw)
	if !extra {
		return
	}
	if _, err := http.ReadRequest(buffered.Reader); err == nil {
		_, _ = conn.Write(raw)
	}
}
