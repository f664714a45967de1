package once

// Claim is the only run of a key, or the replay of its response.
type Claim struct {
	deduplicator *Deduplicator
	entry        *entry
	replay       *Response
}

// Replay returns the stored response of an earlier attempt. When it returns true
// the request must not be sent to the target.
func (c *Claim) Replay() (*Response, bool) { return c.replay, c.replay != nil }

// Complete ends a run that was sent to the target. The response is stored for
// later attempts; nil means that the target's response is not known.
func (c *Claim) Complete(response *Response) {
	c.end(func(s *keyStore) { s.storeResponse(c.entry, response) })
}

// Release ends a run of which nothing was sent to the target. A later attempt
// with the key may run.
func (c *Claim) Release() {
	c.end(func(s *keyStore) { s.remove(c.entry) })
}

// end marks the run as ended. Only the first call has an effect.
func (c *Claim) end(update func(*keyStore)) {
	if c.entry == nil {
		return
	}
	c.deduplicator.mu.Lock()
	defer c.deduplicator.mu.Unlock()
	if c.entry.ended {
		return
	}
	c.entry.ended = true
	update(c.deduplicator.store)
	close(c.entry.done)
}
