package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_s of the settings in DEPLOY.md.
const heartbeatInterval = 1500 * time.Millisecond

// run is one request that an upstream began to work on.
type run struct {
	at       time.Time
	id       string
	upstream string
	caller   string
	method   string
	uri      string
	body     string
	deadline string
}

// upstream is a stand-in of an application upstream. It does what PROTOCOL.md says of
// a sound one.
type upstream struct {
	id       string
	service  string
	zone     string
	slots    int
	control  string
	listener net.Listener
	born     int64
	work     time.Duration
	record   *record

	mu        sync.Mutex
	busy      int
	sequence  int
	state     string
	silent    bool
	runs      []run
	brokenOff map[string]time.Time
	server    *http.Server
	respond   func(w http.ResponseWriter, r *http.Request, body []byte) bool
	heartbeat context.CancelFunc
}

func newUpstream(rec *record, id, service, zone, address, control string, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, zone: zone, slots: 18, control: control, listener: listener, born: time.Now().UnixMilli(), work: work, record: rec, state: "ready", brokenOff: make(map[string]time.Time)}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	var ctx context.Context
	ctx, u.heartbeat = context.WithCancel(context.Background())
	go u.sendHeartbeats(ctx)
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }

// end ends the process of the upstream.
func (u *upstream) end() {
	u.heartbeat()
	_ = u.server.Close()
}

func (u *upstream) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		if !silent {
			_ = u.post("/Instances.Heartbeat/"+u.id, u.nextHeartbeat())
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// nextHeartbeat returns the body of the next heartbeat.
func (u *upstream) nextHeartbeat() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"address":   u.address(),
		"born":      u.born,
		"node_info": map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status":    map[string]any{"state": u.state, "sequence": u.sequence, "cold_left_s": 0},
	})
	return body
}

// deregister tells the daemon that the upstream leaves, and sends no heartbeat from then
// on. It goes on serving. It returns when the acknowledgement came.
func (u *upstream) deregister() error {
	u.mu.Lock()
	u.silent = true
	u.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": u.born})
	return u.post("/Instances.Deregister/"+u.id, body)
}

func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// post makes one call to the daemon beside the upstream.
func (u *upstream) post(path string, body []byte) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+u.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		u.record.printf("upstream %s: %s %s: %v", u.id, path, body, err)
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	u.record.printf("upstream %s: %s %s: answer %d", u.id, path, body, response.StatusCode)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("answer %d", response.StatusCode)
	}
	return nil
}

// ServeHTTP runs one request, or rejects it.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if instance := r.Header.Get("Target-Instance"); instance != "" && instance != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	if u.busy >= u.slots {
		u.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.busy++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.busy--
		u.mu.Unlock()
	}()
	u.mu.Lock()
	respond := u.respond
	u.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	made := run{at: time.Now(), id: id, upstream: u.id, caller: r.Header.Get("Caller-Service"), method: r.Method, uri: r.RequestURI, body: string(body), deadline: r.Header.Get("Deadline-Ms")}
	u.mu.Lock()
	u.runs = append(u.runs, made)
	u.mu.Unlock()
	u.record.printf("upstream %s: runs %s %s %s, caller %s, deadline %s ms, body %d bytes", u.id, id, r.Method, r.RequestURI, made.caller, made.deadline, len(body))
	if respond != nil && respond(w, r, body) {
		return
	}
	work := u.work
	if ms, err := strconv.Atoi(made.deadline); err == nil {
		work = min(work, time.Duration(ms)*time.Millisecond)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		u.mu.Lock()
		u.brokenOff[id] = time.Now()
		u.mu.Unlock()
		u.record.printf("upstream %s: its run of %s is broken off, its connection was closed", u.id, id)
		return
	}
	w.Header().Set("Response-Signature", u.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s by %s", id, u.id)
}

// all returns the runs so far.
func (u *upstream) all() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}
