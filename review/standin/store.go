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
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer, as the site files say.
const storeDelay = 4 * time.Millisecond

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's store, with what PROTOCOL.md says of keyed
// topics. It loses nothing and is never slow.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, topics: make(map[string][]storeRecord), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record and returns once it is stored, which is the acknowledgement.
func (s *store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic])
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first, end := -1, 0
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+length]
		body = body[4+length:]
		keyEnd := 1 + int(record[0])
		end = s.put(topic, string(record[1:keyEnd]), append([]byte(nil), record[keyEnd:]...))
		if first < 0 {
			first = end - 1
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end_offset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	time.Sleep(storeDelay)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeRecords(w, records, len(records))
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []storeRecord, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.key)+len(record.value)))
		out = append(out, byte(len(record.key)))
		out = append(out, record.key...)
		out = append(out, record.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := make(map[string]int)
	for offset, record := range records {
		newest[record.key] = offset
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	items := []map[string]any{}
	for key, offset := range newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[offset].value), "offset": offset})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i]["key"].(string) < items[j]["key"].(string) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "end_offset": len(records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
