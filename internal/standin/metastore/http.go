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

// pageSize bounds the records of one page of /log-newest.
const pageSize = 500

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 2 << 20

// Handler serves the HTTP API of the store.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, mux) })
}

// serve counts a request, applies its fault and passes it to next.
func (s *Service) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s.mu.Lock()
	s.requests[r.URL.Path]++
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
		// The server detects that the client has closed the connection only after
		// the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case fault.DropResponse:
		next.ServeHTTP(&discardingWriter{}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// discardingWriter is a ResponseWriter that discards the response.
type discardingWriter struct{ header http.Header }

func (w *discardingWriter) Header() http.Header {
	if w.header == nil {
		w.header = make(http.Header)
	}
	return w.header
}
func (w *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardingWriter) WriteHeader(int)             {}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == OperatorTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	records, err := splitRecords(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, ok := s.appendAt(name, records, r.URL.Query().Get("at"))
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end_offset": offset})
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end_offset": offset + uint64(len(records))})
}

// errMalformedRecords means that a body is not a list of records.
var errMalformedRecords = errors.New("body is not a list of length-prefixed records")

func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errMalformedRecords
		}
		length := binary.BigEndian.Uint32(body)
		body = body[4:]
		if uint64(length) > uint64(len(body)) {
			return nil, errMalformedRecords
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
	// Without a valid wait_ms the response is sent at once.
	waitMillis, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timeout.Stop()
	for timedOut := waitMillis <= 0; ; {
		appended := s.appended.Wait()
		body, first, count, ok := s.read(query.Get("topic"), from)
		if !ok {
			writeJSON(w, http.StatusGone, map[string]uint64{"first_offset": first})
			return
		}
		if count > 0 || timedOut {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-appended:
		case <-timeout.C:
			timedOut = true
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
		if len(items) == pageSize {
			more = true
			break
		}
		newest := t.newest[key]
		items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(newest.value), Offset: newest.offset})
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
