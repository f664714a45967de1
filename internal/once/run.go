package once

// Claim is the one run of a key, or the replay of its answer.
type Claim struct {
	keeper *Deduplicator
	entry  *entry
	replay *Response
}

// Replay returns the stored answer of an earlier attempt. When it returns
// true nothing may be handed to the target.
func (r *Claim) Replay() (*Response, bool) { return r.replay, r.replay != nil }

// Complete ends a run that was handed to the target. The answer is stored for
// later attempts; nil means that the target's answer is not known.
func (r *Claim) Complete(answer *Response) {
	r.end(func(m *memory) { m.store(r.entry, answer) })
}

// Release ends a run of which nothing was handed to the target. A later
// attempt with the key may run.
func (r *Claim) Release() {
	r.end(func(m *memory) { m.remove(r.entry) })
}

// end marks the run as ended. Only the first call counts.
func (r *Claim) end(change func(*memory)) {
	if r.entry == nil {
		return
	}
	r.keeper.mu.Lock()
	defer r.keeper.mu.Unlock()
	if r.entry.ended {
		return
	}
	r.entry.ended = true
	change(r.keeper.memory)
	close(r.entry.done)
}
