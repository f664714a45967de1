package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// SizeParameter is the query parameter with the size of the response body in
	// bytes.
	SizeParameter = "size"
	// CallIDTrailer is the trailer with the call ID. Only responses that echo the
	// request body have trailers.
	CallIDTrailer = "Target-Call"
	// maxSize is the largest accepted value of SizeParameter.
	maxSize = 1 << 30
	// blockSize is the size of one write of a response body in bytes.
	blockSize = 32 << 10
)

// responseBlock is the content of response bodies of a given size, repeated as
// often as needed.
var responseBlock = bytes.Repeat([]byte("points heater on"), blockSize/16)

// handler serves the control paths. A request to any other path is executed.
func (t *Target) handler() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.GET("/health", t.serveHealth)
	router.GET("/runs", t.serveRuns)
	router.POST("/behaviour", t.serveBehaviour)
	router.NotFound = http.HandlerFunc(t.serveRun)
	return router
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !t.Behaviour().healthy() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) serveRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.Runs())
}

func (t *Target) serveBehaviour(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var behaviour Behaviour
	if err := json.NewDecoder(r.Body).Decode(&behaviour); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := t.SetBehaviour(behaviour); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// serveRun executes a request. The response body has the size given by SizeParameter
// or, without that parameter, is the body of the request.
func (t *Target) serveRun(w http.ResponseWriter, r *http.Request) {
	behaviour := t.Behaviour()
	if behaviour.Shed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := readBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !t.acquireWorker(r.Context()) {
		return
	}
	defer t.releaseWorker()
	run := newRun(r)
	index := t.runs.start(run)
	status := 0
	defer func() {
		t.runs.end(index, func(run *Run) {
			run.Status = status
			run.Finished = status != 0 && r.Context().Err() == nil && !behaviour.TruncateBody
			run.Cancelled = r.Context().Err() != nil
		})
	}()
	if !simulateWork(r.Context(), behaviour, index, run.Deadline) {
		status = http.StatusGatewayTimeout
		w.WriteHeader(status)
		return
	}
	status = http.StatusOK
	if behaviour.Fail {
		status = http.StatusInternalServerError
	}
	writeResponse(w, r, body, status, behaviour.TruncateBody)
}

// acquireWorker waits for a free worker. It returns false if ctx is done first.
func (t *Target) acquireWorker(ctx context.Context) bool {
	if t.workers == nil {
		return true
	}
	select {
	case t.workers <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) releaseWorker() {
	if t.workers != nil {
		<-t.workers
	}
}

// readBody reads a short body completely, because the server detects the
// cancellation of a request only after its body has been read. A body that is long
// or of unknown length is streamed.
func readBody(r *http.Request) (io.Reader, error) {
	if r.ContentLength < 0 || r.ContentLength > blockSize {
		return r.Body, nil
	}
	body, err := io.ReadAll(r.Body)
	return bytes.NewReader(body), err
}

func newRun(r *http.Request) Run {
	attempt, _ := strconv.Atoi(r.Header.Get(call.HeaderAttempt))
	deadline, _ := time.ParseDuration(r.Header.Get(call.HeaderDeadline))
	return Run{
		Call:      r.Header.Get(call.HeaderCall),
		Key:       r.Header.Get(call.HeaderKey),
		Attempt:   attempt,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		StartedAt: time.Now(),
		Deadline:  deadline,
	}
}

// simulateWork waits for the service time. It returns false if the request was
// cancelled or its deadline passed.
func simulateWork(ctx context.Context, behaviour Behaviour, number int, deadline time.Duration) bool {
	if behaviour.Hang {
		<-ctx.Done()
		return false
	}
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline)
		defer cancel()
	}
	duration := behaviour.serviceTime(number)
	if duration <= 0 {
		return ctx.Err() == nil
	}
	return wait.For(ctx, duration)
}

// writeResponse writes a body of the requested size, or else echoes the body of the
// request and adds CallIDTrailer.
func writeResponse(w http.ResponseWriter, r *http.Request, body io.Reader, status int, truncate bool) {
	if body == r.Body {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
	}
	size, err := strconv.ParseInt(r.URL.Query().Get(SizeParameter), 10, 64)
	if err == nil && size >= 0 && size <= maxSize {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		w.WriteHeader(status)
		writeBlocks(w, size, truncate)
		return
	}
	if kind := r.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.Header().Set("Trailer", CallIDTrailer)
	w.WriteHeader(status)
	echo(w, body, truncate)
	w.Header().Set(CallIDTrailer, r.Header.Get(call.HeaderCall))
}

// writeBlocks writes size bytes, or writes half of them and aborts if truncate is
// set.
func writeBlocks(w http.ResponseWriter, size int64, truncate bool) {
	limit := size
	if truncate {
		limit = size / 2
	}
	for limit > 0 {
		n, err := w.Write(responseBlock[:min(limit, blockSize)])
		limit -= int64(n)
		if err != nil {
			return
		}
	}
	abortIf(w, truncate)
}

// echo streams the body of the request back. If truncate is set, it writes half of
// the first block and aborts.
func echo(w http.ResponseWriter, body io.Reader, truncate bool) {
	control := http.NewResponseController(w)
	buffer := make([]byte, blockSize)
	for {
		n, err := body.Read(buffer)
		if truncate {
			_, _ = w.Write(buffer[:n/2])
			abortIf(w, truncate)
		}
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return
		}
		_ = control.Flush()
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func abortIf(w http.ResponseWriter, truncate bool) {
	if !truncate {
		return
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
