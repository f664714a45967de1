package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store, as far as the daemons use it.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	topics  map[string]*topic
	// down makes every call answer 503 without doing anything.
	down atomic.Bool
	// lastConditional is the machine that last wrote under a condition.
	lastConditional string
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
}

type keyed struct {
	offset uint64
	value  []byte
}

func newStore() *store {
	return &store{changed: make(chan struct{}), topics: map[string]*topic{}}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, record []byte) uint64 {
	t := s.topic(name)
	offset := uint64(len(t.records))
	t.records = append(t.records, record)
	if strings.HasPrefix(name, "keyed.") && len(record) > 0 && 1+int(record[0]) <= len(record) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{offset, value}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// put writes a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.append(name, append(record, value...))
}

func (s *store) keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.topic(name).newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// serve serves one machine at an address of its own, so that the store knows who calls.
func (s *store) serve(address, machine string) {
	listener, err := net.Listen("tcp", address)
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveCall(w, r, machine) })}
	go func() { _ = server.Serve(listener) }()
}

// lastWriter returns the machine that last wrote under a condition.
func (s *store) lastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

// value returns the newest value of a key.
func (s *store) value(name, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.topic(name).newest[key].value)
}

func (s *store) serveCall(w http.ResponseWriter, r *http.Request, machine string) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	name := query.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.serveAppend(w, machine, name, query.Get("at"), body)
	case "GET /log-read":
		s.serveRead(w, r, name)
	case "GET /log-newest":
		s.serveNewest(w, name, query.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, machine, name, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(s.topic(name).records))
	if at != "" && at != strconv.FormatUint(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	if at != "" {
		s.lastConditional = machine
	}
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.append(name, append([]byte(nil), body[4:4+length]...))
		body = body[4+length:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": end, "end_offset": len(s.topic(name).records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for late := wait <= 0; ; {
		s.mu.Lock()
		changed, records := s.changed, s.topic(name).records
		s.mu.Unlock()
		if from < len(records) || late {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for i := from; i < len(records); i++ {
				body = binary.BigEndian.AppendUint32(body, uint32(len(records[i])))
				body = append(body, records[i]...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			late = true
		case <-r.Context().Done():
			return
		}
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.newest[key].value), "offset": t.newest[key].offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "end_offset": len(t.records)})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
