package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is heartbeat_s of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// upstream is a stand-in of an application upstream. It answers each request with a body
// that names the request, and records what it ran.
type upstream struct {
	id, service, version, zone string
	born                       int64
	slots                      int
	control                    string
	firstBeat                  time.Duration
	listener                   net.Listener
	server                     *http.Server
	// work is how long a request runs, bodySize the length of its answer; 0 for a short one.
	work     func(path string) time.Duration
	bodySize func(path string) int
	// serverLimit and leaving are put into each answer.
	serverLimit string
	leaving     bool
	// bad makes every other answer a failure.
	bad atomic.Bool

	mu       sync.Mutex
	state    string
	sequence int
	beating  bool
	active   int
	runs     []run
	ended    bool
}

type run struct {
	id, service, instance, method, path, query, caller, tenant string
	body                                                       string
	began, ended                                               time.Duration
	outcome                                                    string
}

func newUpstream(address, id, service, zone, control string, slots int) *upstream {
	return newUpstreamOf("v1", address, id, service, zone, control, slots, 0)
}

// newUpstreamOf is newUpstream for a version of the service's software and a first heartbeat
// that is due later.
func newUpstreamOf(version, address, id, service, zone, control string, slots int, firstBeat time.Duration) *upstream {
	listener, err := net.Listen("tcp", address)
	must(err)
	u := &upstream{
		id: id, service: service, version: version, zone: zone, born: time.Now().UnixMilli(), slots: slots,
		control: control, firstBeat: firstBeat, listener: listener, state: "ready", beating: true,
		work: func(string) time.Duration { return 20 * time.Millisecond }, bodySize: func(string) int { return 0 },
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	go u.beat()
	return u
}

// beat sends a heartbeat every heartbeatInterval, the first one after firstBeat.
func (u *upstream) beat() {
	time.Sleep(u.firstBeat)
	for {
		u.mu.Lock()
		beating, ended := u.beating, u.ended
		u.mu.Unlock()
		if ended {
			return
		}
		if beating {
			u.heartbeat()
		}
		time.Sleep(heartbeatInterval)
	}
}

// nextBeat returns the body of the next heartbeat.
func (u *upstream) nextBeat() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": u.listener.Addr().String(), "born": u.born,
		"node_info": map[string]any{"service": u.service, "version": u.version, "zone": u.zone, "slots": u.slots},
		"status":    map[string]any{"state": u.state, "sequence": u.sequence, "cold_left_s": 0},
	})
	return body
}

func (u *upstream) heartbeat() int { return u.post("/Instances.Heartbeat/"+u.id, u.nextBeat()) }

func (u *upstream) setState(state string) {
	u.mu.Lock()
	u.state = state
	u.mu.Unlock()
}

// deregister stops the heartbeats and tells the daemon that this upstream goes. It returns
// the status of the answer, 0 for none.
func (u *upstream) deregister() int {
	u.mu.Lock()
	u.beating = false
	u.mu.Unlock()
	return u.post("/Instances.Deregister/"+u.id, fmt.Appendf(nil, `{"born":%d}`, u.born))
}

// post sends a call to the daemon beside this upstream. An answer counts within a second.
func (u *upstream) post(path string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+u.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
	return response.StatusCode
}

// stop ends the upstream.
func (u *upstream) stop() {
	u.mu.Lock()
	u.ended, u.beating = true, false
	u.mu.Unlock()
	_ = u.server.Close()
}

func answerTo(id string, size int) []byte {
	text := "answer to " + id + "\n"
	if size <= len(text) {
		return []byte(text)
	}
	return []byte(strings.Repeat(text, size/len(text)+1)[:size])
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/healthz" && id == "" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	w.Header().Set("Request-Id", id)
	if named := r.Header.Get("Target-Instance"); named != "" && named != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	if u.active >= u.slots+4 || id == "" {
		u.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.active++
	index := len(u.runs)
	u.runs = append(u.runs, run{
		id: id, service: u.service, instance: u.id, method: r.Method, path: r.URL.EscapedPath(), query: r.URL.RawQuery,
		caller: r.Header.Get("Caller-Service"), tenant: r.Header.Get("Tenant"), body: string(body), began: now(),
	})
	limit, leaving := u.serverLimit, u.leaving
	u.mu.Unlock()
	deadline, _ := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	end := func(outcome string) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.active--
		u.runs[index].ended, u.runs[index].outcome = now(), outcome
	}
	work := u.work(r.URL.Path)
	timer := time.NewTimer(min(work, time.Duration(deadline*float64(time.Millisecond))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		end("cut")
		return
	}
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Response-Signature", u.id+"."+id)
	if work > time.Duration(deadline*float64(time.Millisecond)) {
		w.WriteHeader(http.StatusGatewayTimeout)
		end("504")
		return
	}
	if u.bad.Load() && index%2 == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		end("500")
		return
	}
	answer := answerTo(id, u.bodySize(r.URL.Path))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if _, err := w.Write(answer); err != nil {
		end("cut while it answered")
		return
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	end("200")
}

func (u *upstream) allRuns() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}
