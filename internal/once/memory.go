package once

import (
	"container/heap"
	"net/http"
)

// Response is what the target answered to the one run of a key.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// headerOverhead is the size charged for each header value besides its text,
// in bytes.
const headerOverhead = 32

// size is about how many bytes the answer holds in memory.
func (a *Response) size() int {
	total := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerOverhead
		}
	}
	return total
}

// memoryKey identifies a run: one key of one service.
type memoryKey struct {
	service string
	key     Key
}

// entry is what a home remembers of one key.
type entry struct {
	id memoryKey
	// done is closed when the run ends.
	done   chan struct{}
	ended  bool
	answer *Response
	// index is the place in the heap.
	index int
}

// memory holds the keys at or after a watermark of key time that never falls.
// It is bounded in keys and in bytes of answers.
type memory struct {
	maxKeys  int
	maxBytes int

	entries   map[memoryKey]*entry
	byTime    entryHeap
	watermark int64
	bytes     int
	// answered queues entries with a stored answer in the order they ended.
	answered []*entry
}

func newMemory(maxKeys, maxBytes int) *memory {
	return &memory{maxKeys: maxKeys, maxBytes: maxBytes, entries: map[memoryKey]*entry{}}
}

// raise forgets the keys before a time for good.
func (m *memory) raise(millis int64) {
	if millis <= m.watermark {
		return
	}
	m.watermark = millis
	for len(m.byTime) > 0 && m.byTime[0].id.key.Millis() < millis {
		m.drop(heap.Pop(&m.byTime).(*entry))
	}
}

// insert remembers a key. When full it raises the watermark past the oldest.
func (m *memory) insert(id memoryKey) *entry {
	added := &entry{id: id, done: make(chan struct{})}
	m.entries[id] = added
	heap.Push(&m.byTime, added)
	for len(m.entries) > m.maxKeys {
		m.raise(m.byTime[0].id.key.Millis() + 1)
	}
	return added
}

// remove forgets a key that was not run.
func (m *memory) remove(gone *entry) {
	if m.entries[gone.id] != gone {
		return
	}
	delete(m.entries, gone.id)
	heap.Remove(&m.byTime, gone.index)
}

// store keeps an answer, at the cost of the oldest ones when there is no room.
func (m *memory) store(ended *entry, answer *Response) {
	if m.entries[ended.id] != ended || answer == nil || answer.size() > m.maxBytes {
		return
	}
	ended.answer = answer
	m.bytes += answer.size()
	m.answered = append(m.answered, ended)
	for m.bytes > m.maxBytes {
		m.forgetAnswer(m.answered[0])
		m.answered = m.answered[1:]
	}
}

func (m *memory) drop(gone *entry) {
	delete(m.entries, gone.id)
	m.forgetAnswer(gone)
}

func (m *memory) forgetAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	m.bytes -= e.answer.size()
	e.answer = nil
}

// entryHeap orders entries by key time, oldest first.
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
