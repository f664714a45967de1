package target

import (
	"sync"
	"time"
)

// Run is one request whose execution the target started. The runs are the
// reference for checking the outcomes that the mesh reports.
type Run struct {
	// Call, Key and Attempt are the values of the request headers.
	Call    string `json:"call"`
	Key     string `json:"key,omitempty"`
	Attempt int    `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// StartedAt is when the execution started.
	StartedAt time.Time `json:"began"`
	// Deadline is the time until the deadline at StartedAt, 0 for none.
	Deadline time.Duration `json:"deadline_ns,omitempty"`
	// Finished means that the whole response was written.
	Finished bool `json:"finished"`
	// Cancelled means that the request was cancelled during its execution.
	Cancelled bool `json:"cancelled"`
	Status    int  `json:"status,omitempty"`
}

// recorder stores the runs of one target in the order in which they started.
type recorder struct {
	mu     sync.Mutex
	runs   []Run
	active int
	peak   int
}

// start adds a run and returns its index.
func (r *recorder) start(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.active++
	r.peak = max(r.peak, r.active)
	return len(r.runs) - 1
}

// end updates a run with its result.
func (r *recorder) end(index int, complete func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	complete(&r.runs[index])
	r.active--
}

func (r *recorder) snapshot() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

func (r *recorder) peakActive() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}
