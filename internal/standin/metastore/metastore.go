// Package metastore is a stand-in for the metadata store of the users' platform. It
// has topics with one partition each. Topics whose names start with "keyed." retain
// the newest record of each key. It can inject faults: it rejects, delays or ignores
// requests, and loses responses or records.
package metastore

import (
	"encoding/binary"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// keyedPrefix is the prefix of the names of keyed topics.
const keyedPrefix = "keyed."

// Topic and key of the operator's configuration.
const (
	OperatorTopic    = "keyed.op"
	ConfigurationKey = "config"
)

// Fault is the fault that the store injects into a request.
type Fault struct {
	// Status is sent without executing the request, 0 for none.
	Status int
	// Reset closes the connection without executing the request.
	Reset bool
	// Silent sends no response and does not execute the request.
	Silent bool
	// DropResponse executes the request and closes the connection without a
	// response.
	DropResponse bool
	// Delay delays the request. It precedes the other faults.
	Delay time.Duration
}

// Service is a metadata store.
type Service struct {
	// appended wakes waiting reads after each append.
	appended wait.Broadcast

	mu     sync.Mutex
	topics map[string]*topic
	// fault returns the fault of a request from the address of its client and its
	// path; nil means no faults.
	fault func(client, path string) Fault
	// requests counts the requests by path.
	requests map[string]int
}

// topic holds the records of a topic, which has one partition.
type topic struct {
	// first is the offset of records[0].
	first   uint64
	records [][]byte
	// newest maps each key of a keyed topic to its newest record.
	newest map[string]keyedValue
}

type keyedValue struct {
	offset uint64
	value  []byte
}

// New returns an empty store without faults.
func New() *Service {
	return &Service{topics: make(map[string]*topic), requests: make(map[string]int)}
}

// SetFaultFunc sets the function that returns the fault of each request, nil for no
// faults.
func (s *Service) SetFaultFunc(fault func(client, path string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// RequestCount returns the number of requests to a path.
func (s *Service) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[path]
}

// PutConfiguration appends the operator's configuration and returns its offset.
func (s *Service) PutConfiguration(value []byte) uint64 {
	return s.Put(OperatorTopic, ConfigurationKey, value)
}

// Put appends a record with a key and returns its offset.
func (s *Service) Put(name, key string, value []byte) uint64 {
	record := append([]byte{byte(len(key))}, key...)
	return s.append(name, [][]byte{append(record, value...)})
}

// Truncate deletes all records of a topic. The newest record of each key stays
// available.
func (s *Service) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
}

// Newest returns the newest value of a key, nil if there is none.
func (s *Service) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

// topic returns a topic and creates it if necessary.
func (s *Service) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyedValue)}
		s.topics[name] = t
	}
	return t
}

// append appends records and returns the offset of the first.
func (s *Service) append(name string, records [][]byte) uint64 {
	offset, _ := s.appendAt(name, records, "")
	return offset
}

// appendAt is append on the condition that the topic ends at an offset, "" for none. It
// returns the end of the topic and false if it does not.
func (s *Service) appendAt(name string, records [][]byte, at string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := t.end()
	if at != "" && at != strconv.FormatUint(offset, 10) {
		return offset, false
	}
	for _, record := range records {
		if strings.HasPrefix(name, keyedPrefix) {
			t.index(record)
		}
		t.records = append(t.records, record)
	}
	s.appended.Notify()
	return offset, true
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// index records the newest value of the key of a record. An empty value deletes the
// key.
func (t *topic) index(record []byte) {
	if len(record) == 0 || 1+int(record[0]) > len(record) {
		return
	}
	split := 1 + int(record[0])
	key := string(record[1:split])
	if len(record) == split {
		delete(t.newest, key)
		return
	}
	t.newest[key] = keyedValue{offset: t.end(), value: record[split:]}
}

// read returns the body of a read response (the end offset, the first retained
// offset and the records from an offset onwards), the first retained offset and the
// number of records. ok is false if the offset is no longer retained.
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
