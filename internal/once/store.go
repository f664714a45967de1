package once

import (
	"container/heap"
	"net/http"
)

// Response is the target's response to the only run of a key.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// headerOverhead is the size in bytes that is counted for each header value in
// addition to its text.
const headerOverhead = 32

// size is the approximate memory used by the response, in bytes.
func (r *Response) size() int {
	total := len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerOverhead
		}
	}
	return total
}

// entryID identifies a run: one key of one service.
type entryID struct {
	service string
	key     Key
}

// entry is the state of one remembered key.
type entry struct {
	id entryID
	// done is closed when the run ends.
	done     chan struct{}
	ended    bool
	response *Response
	// index is the position in the heap.
	index int
}

// keyStore holds the keys with timestamps at or after a watermark that never
// decreases. The number of keys and the bytes of responses are bounded.
type keyStore struct {
	maxKeys  int
	maxBytes int

	entries   map[entryID]*entry
	byTime    entryHeap
	watermark int64
	bytes     int
	// completed queues entries with a stored response in the order they ended.
	completed []*entry
}

func newKeyStore(maxKeys, maxBytes int) *keyStore {
	return &keyStore{maxKeys: maxKeys, maxBytes: maxBytes, entries: map[entryID]*entry{}}
}

// raiseWatermark evicts the keys before a timestamp permanently.
func (s *keyStore) raiseWatermark(millis int64) {
	if millis <= s.watermark {
		return
	}
	s.watermark = millis
	for len(s.byTime) > 0 && s.byTime[0].id.key.Millis() < millis {
		s.evict(heap.Pop(&s.byTime).(*entry))
	}
}

// insert adds a key. When full it raises the watermark past the oldest key.
func (s *keyStore) insert(id entryID) *entry {
	added := &entry{id: id, done: make(chan struct{})}
	s.entries[id] = added
	heap.Push(&s.byTime, added)
	for len(s.entries) > s.maxKeys {
		s.raiseWatermark(s.byTime[0].id.key.Millis() + 1)
	}
	return added
}

// remove deletes a key that was not run.
func (s *keyStore) remove(removed *entry) {
	if s.entries[removed.id] != removed {
		return
	}
	delete(s.entries, removed.id)
	heap.Remove(&s.byTime, removed.index)
}

// storeResponse stores a response and drops the oldest ones to make room.
func (s *keyStore) storeResponse(ended *entry, response *Response) {
	if s.entries[ended.id] != ended || response == nil || response.size() > s.maxBytes {
		return
	}
	ended.response = response
	s.bytes += response.size()
	s.completed = append(s.completed, ended)
	for s.bytes > s.maxBytes {
		s.dropResponse(s.completed[0])
		s.completed = s.completed[1:]
	}
}

func (s *keyStore) evict(evicted *entry) {
	delete(s.entries, evicted.id)
	s.dropResponse(evicted)
}

func (s *keyStore) dropResponse(e *entry) {
	if e.response == nil {
		return
	}
	s.bytes -= e.response.size()
	e.response = nil
}

// entryHeap orders entries by key timestamp, oldest first.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].id.key.Millis() < h[j].id.key.Millis() }

// Swap exchanges two entries for container/heap.
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an entry for container/heap.
func (h *entryHeap) Push(x any) {
	added := x.(*entry)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop removes the last entry for container/heap.
func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
