package logservice

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// Limits of requests.
const (
	maxPayloadBytes = 16 << 20
	maxFaultsBytes  = 1 << 16
	maxWait         = time.Minute
)

// Handler serves the protocol of the log service.
func (s *Service) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/streams/:stream/records", s.serveAppend)
	router.GET("/streams/:stream/records", s.serveRead)
	return s.holdSilentConnections(router)
}

// AdminHandler returns and sets the faults (GET and POST /faults, JSON) and returns
// the numbers of requests (GET /counts).
func (s *Service) AdminHandler() http.Handler {
	router := httprouter.New()
	router.GET("/faults", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, s.Faults())
	})
	router.POST("/faults", s.serveFaults)
	router.GET("/counts", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, s.Counts())
	})
	return router
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := s.Append(r.Context(), params.ByName("stream"), payload)
	switch {
	case err == nil:
		writeProto(w, http.StatusOK, &platform.AppendAnswer{Offset: offset})
	case errors.Is(err, platform.ErrUnknown):
		// Aborts the connection without a response.
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	query, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, err := s.read(r.Context(), params.ByName("stream"), query.from, query.wait, query.maxBytes)
	answer := &platform.ReadAnswer{
		Records: platform.RecordsToWire(result.Records),
		Oldest:  result.Oldest,
		Next:    result.Next,
	}
	var expired *platform.ExpiredError
	switch {
	case err == nil:
		writeProto(w, http.StatusOK, answer)
	case errors.As(err, &expired):
		writeProto(w, http.StatusGone, answer)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	from     uint64
	wait     time.Duration
	maxBytes int
}

func parseQuery(r *http.Request) (readQuery, error) {
	values := r.URL.Query()
	query := readQuery{maxBytes: platform.DefaultMaxBytes}
	from, err := strconv.ParseUint(values.Get("from"), 10, 64)
	if err != nil {
		return query, err
	}
	query.from = from
	if text := values.Get("wait_ms"); text != "" {
		millis, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return query, err
		}
		query.wait = min(time.Duration(millis)*time.Millisecond, maxWait)
	}
	if text := values.Get("max_bytes"); text != "" {
		bytes, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return query, err
		}
		query.maxBytes = int(bytes)
	}
	return query, nil
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func writeProto(w http.ResponseWriter, status int, message proto.Message) {
	body, err := proto.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
