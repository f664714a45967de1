package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// pageItems bounds the records of one page of the newest.
const pageItems = 500

// maxBody bounds the body of a request, in bytes.
const maxBody = 2 << 20

// Handler serves the store's calls.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, mux) })
}

// serve counts a request and applies its fault.
func (s *Service) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	var fault Fault
	if s.fault != nil {
		fault = s.fault(r.RemoteAddr, r.URL.Path)
	}
	s.mu.Unlock()
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	switch {
	case fault.Status > 0:
		w.WriteHeader(fault.Status)
	case fault.Reset:
		panic(http.ErrAbortHandler)
	case fault.Silent:
		// The server sees that a client has gone once it has read the request.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case fault.DropResponse:
		next.ServeHTTP(&lostAnswer{}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// lostAnswer takes an answer that nobody gets.
type lostAnswer struct{ header http.Header }

func (l *lostAnswer) Header() http.Header {
	if l.header == nil {
		l.header = make(http.Header)
	}
	return l.header
}
func (l *lostAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (l *lostAnswer) WriteHeader(int)             {}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == OperatorTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	records, err := splitRecords(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := s.append(name, records)
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end_offset": offset + uint64(len(records))})
}

// errRecords says that a body is not a list of records.
var errRecords = errors.New("the body is not a list of records with their lengths")

func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errRecords
		}
		length := binary.BigEndian.Uint32(body)
		body = body[4:]
		if uint64(length) > uint64(len(body)) {
			return nil, errRecords
		}
		records = append(records, body[:length:length])
		body = body[length:]
	}
	return records, nil
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A read without a wait answers at once.
	waitMillis, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timeout.Stop()
	for late := waitMillis <= 0; ; {
		changed := s.changed.Wait()
		body, first, count, ok := s.read(query.Get("topic"), from)
		if !ok {
			writeJSON(w, http.StatusGone, map[string]uint64{"first_offset": first})
			return
		}
		if count > 0 || late {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset uint64 `json:"offset"`
}

func (s *Service) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []newestItem{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		one := t.newest[key]
		items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(one.value), Offset: one.offset})
	}
	end := t.end()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end_offset": end})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
