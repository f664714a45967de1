package target

import (
	"sync"
	"time"
)

// Run is one request whose work the target began. The runs are the ground
// truth for what the mesh says of a call.
type Run struct {
	// Call, Key and Attempt are the headers that came with the request.
	Call    string `json:"call"`
	Key     string `json:"key,omitempty"`
	Attempt int    `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// StartedAt is when the work began.
	StartedAt time.Time `json:"began"`
	// Deadline is the time that was left when the work began, 0 for none.
	Deadline time.Duration `json:"deadline_ns,omitempty"`
	// Finished says that the whole answer was written.
	Finished bool `json:"finished"`
	// Cancelled says that the request was cancelled while it ran.
	Cancelled bool `json:"cancelled"`
	Status    int  `json:"status,omitempty"`
}

// recorder keeps the runs of one target in order of their beginning.
type recorder struct {
	mu     sync.Mutex
	runs   []Run
	active int
	peak   int
}

// begin adds a run and returns its index.
func (r *recorder) begin(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.active++
	r.peak = max(r.peak, r.active)
	return len(r.runs) - 1
}

// end completes a run.
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
