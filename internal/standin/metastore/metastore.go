// Package metastore stands in for the metadata store of the users' platform:
// topics with one partition, of which those named "keyed." keep the newest
// record of each key. It can refuse, delay, lose answers and forget.
package metastore

import (
	"encoding/binary"
	"strings"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// keyedPrefix begins the names of topics that keep the newest of each key.
const keyedPrefix = "keyed."

// Names of the operator's record.
const (
	OperatorTopic    = "keyed.op"
	ConfigurationKey = "config"
)

// Fault is how the store treats a request.
type Fault struct {
	// Status is answered in place of the answer, 0 for none. Nothing is done.
	Status int
	// Reset closes the connection; nothing is done.
	Reset bool
	// Silent never answers; nothing is done.
	Silent bool
	// DropResponse does what is asked and closes the connection.
	DropResponse bool
	// Delay is added to each answer.
	Delay time.Duration
}

// Service is one store.
type Service struct {
	changed wait.Broadcast

	mu     sync.Mutex
	topics map[string]*topic
	// fault decides on each request by the address of its client.
	fault func(client, path string) Fault
	calls map[string]int
}

// topic is the only partition of a topic.
type topic struct {
	// first is the offset of records[0].
	first   uint64
	records [][]byte
	newest  map[string]keyed
}

type keyed struct {
	offset uint64
	value  []byte
}

// New returns an empty store without faults.
func New() *Service {
	return &Service{topics: make(map[string]*topic), calls: make(map[string]int)}
}

// SetFaultFunc makes a function decide on each request, nil for no faults.
func (s *Service) SetFaultFunc(fault func(client, path string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// RequestCount returns how many requests came to a path.
func (s *Service) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// PutConfiguration writes the operator's configuration and returns its offset.
func (s *Service) PutConfiguration(value []byte) uint64 {
	return s.Put(OperatorTopic, ConfigurationKey, value)
}

// Put appends a record with a key and returns its offset.
func (s *Service) Put(name, key string, value []byte) uint64 {
	record := append([]byte{byte(len(key))}, key...)
	return s.append(name, [][]byte{append(record, value...)})
}

// Truncate drops all records of a topic but the newest of each key.
func (s *Service) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
}

// Newest returns the newest value of a key, nil for none.
func (s *Service) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

// topic returns a topic, making it at its first use.
func (s *Service) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyed)}
		s.topics[name] = t
	}
	return t
}

// append adds records and returns the offset of the first.
func (s *Service) append(name string, records [][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := t.end()
	for _, record := range records {
		if strings.HasPrefix(name, keyedPrefix) {
			t.keep(record)
		}
		t.records = append(t.records, record)
	}
	s.changed.Notify()
	return offset
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// keep makes a record the newest of its key. One without a value drops the key.
func (t *topic) keep(record []byte) {
	if len(record) == 0 || 1+int(record[0]) > len(record) {
		return
	}
	split := 1 + int(record[0])
	key := string(record[1:split])
	if len(record) == split {
		delete(t.newest, key)
		return
	}
	t.newest[key] = keyed{offset: t.end(), value: record[split:]}
}

// read returns the end, the first retained offset and the records from an
// offset on in the form of an answer, and false when they have been deleted.
func (s *Service) read(name string, from uint64) (body []byte, first uint64, count int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		return nil, t.first, 0, false
	}
	body = binary.BigEndian.AppendUint64(nil, t.end())
	body = binary.BigEndian.AppendUint64(body, t.first)
	for offset := from; offset < t.end(); offset++ {
		record := t.records[offset-t.first]
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
		count++
	}
	return body, t.first, count, true
}
