package wait

import "sync"

// Broadcast wakes all waiting goroutines at the next event. The zero value is ready
// to use.
type Broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// Wait returns a channel that is closed at the next event.
func (b *Broadcast) Wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// Notify wakes all waiters.
func (b *Broadcast) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
