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
	// SizeParameter asks for an answer of so many bytes.
	SizeParameter = "size"
	// CallIDTrailer is a trailer that bears the call id of each answer.
	CallIDTrailer = "Target-Call"
	// maxSize bounds SizeParameter in bytes.
	maxSize = 1 << 30
	// blockSize is the length of one write of an answer in bytes.
	blockSize = 32 << 10
)

// answerBlock is what answers of a given size are made of.
var answerBlock = bytes.Repeat([]byte("points heater on"), blockSize/16)

// handler serves the control paths; every other path is a request to run.
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

// serveRun runs a request. It answers with SizeParameter bytes, or else with
// the request's own body.
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
	if !t.takeWorker(r.Context()) {
		return
	}
	defer t.giveWorker()
	run := newRun(r)
	index := t.runs.begin(run)
	status := 0
	defer func() {
		t.runs.end(index, func(run *Run) {
			run.Status = status
			run.Finished = status != 0 && r.Context().Err() == nil && !behaviour.TruncateBody
			run.Cancelled = r.Context().Err() != nil
		})
	}()
	if !work(r.Context(), behaviour, index, run.Deadline) {
		status = http.StatusGatewayTimeout
		w.WriteHeader(status)
		return
	}
	status = http.StatusOK
	if behaviour.Fail {
		status = http.StatusInternalServerError
	}
	answer(w, r, body, status, behaviour.TruncateBody)
}

// takeWorker waits until the request may run. It reports whether it may.
func (t *Target) takeWorker(ctx context.Context) bool {
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

func (t *Target) giveWorker() {
	if t.workers != nil {
		<-t.workers
	}
}

// readBody reads a short body whole: a server notices that a request was
// cancelled only once its body has been read. Others are read as they come.
func readBody(r *http.Request) (io.Reader, error) {
	if r.ContentLength < 0 || r.ContentLength > blockSize {
		return r.Body, nil
	}
	whole, err := io.ReadAll(r.Body)
	return bytes.NewReader(whole), err
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

// work spends the service time. It reports whether the request may be
// answered: it was not cancelled and its deadline has not passed.
func work(ctx context.Context, behaviour Behaviour, number int, deadline time.Duration) bool {
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

// answer writes an answer of known length where one is asked for, and else
// streams the request's body back and ends with a trailer.
func answer(w http.ResponseWriter, r *http.Request, body io.Reader, status int, cut bool) {
	if body == r.Body {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
	}
	size, err := strconv.ParseInt(r.URL.Query().Get(SizeParameter), 10, 64)
	if err == nil && size >= 0 && size <= maxSize {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		w.WriteHeader(status)
		writeBlocks(w, size, cut)
		return
	}
	if kind := r.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.Header().Set("Trailer", CallIDTrailer)
	w.WriteHeader(status)
	echo(w, body, cut)
	w.Header().Set(CallIDTrailer, r.Header.Get(call.HeaderCall))
}

// writeBlocks writes size bytes, or half of them and an abort.
func writeBlocks(w http.ResponseWriter, size int64, cut bool) {
	limit := size
	if cut {
		limit = size / 2
	}
	for limit > 0 {
		n, err := w.Write(answerBlock[:min(limit, blockSize)])
		limit -= int64(n)
		if err != nil {
			return
		}
	}
	abortIf(w, cut)
}

// echo returns the request's body piece by piece as it comes.
func echo(w http.ResponseWriter, body io.Reader, cut bool) {
	control := http.NewResponseController(w)
	buffer := make([]byte, blockSize)
	for {
		n, err := body.Read(buffer)
		if cut {
			_, _ = w.Write(buffer[:n/2])
			abortIf(w, cut)
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

func abortIf(w http.ResponseWriter, cut bool) {
	if !cut {
		return
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
