// Package logservice is a stand-in for the platform's append-only log, for the
// demonstration and for tests. It stores records in memory and can inject the faults
// of the real service.
package logservice

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// ErrUnavailable is wrapped by the errors of appends and reads while Faults.Refuse is
// set.
var ErrUnavailable = errors.New("the log is unavailable")

// Options of a service.
type Options struct {
	// MaxRecords bounds the number of retained records of each stream, 0 for no
	// bound.
	MaxRecords int
	// MaxAge bounds the age of retained records, 0 for no bound.
	MaxAge time.Duration
	Now    func() time.Time
}

// Service is an append-only log of several streams. It implements platform.Log for
// use within one process, and Handler serves it over HTTP.
type Service struct {
	options Options

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	// faultsChanged is closed at the next call of SetFaults.
	faultsChanged chan struct{}
	counts        Counts
	// connections maps the client address of every connection that has sent a
	// request to whether the connection is silent.
	connections map[string]bool
}

var _ platform.Log = (*Service)(nil)

// New returns a service without records or faults.
func New(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Service{
		options:       options,
		streams:       map[string]*stream{},
		faultsChanged: make(chan struct{}),
		connections:   map[string]bool{},
	}
}

// SetFaults replaces the faults. Requests that wait because of Faults.Silent
// continue unless the new faults also set it.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.SilenceOpenConnections {
		s.silenceOpenConnections()
		faults.SilenceOpenConnections = false
	}
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of requests since the service was created.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Append adds a record and returns its offset.
func (s *Service) Append(ctx context.Context, name string, payload []byte) (uint64, error) {
	s.count(func(c *Counts) { c.Appends++ })
	if err := s.applyFaults(ctx); err != nil {
		return 0, fmt.Errorf("append to stream %s: %w: %w", name, platform.ErrRefused, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.stream(name).append(payload, s.options.Now())
	if s.dropsResponse() {
		s.counts.DroppedResponses++
		return 0, fmt.Errorf("append to stream %s: %w: response lost", name, platform.ErrUnknown)
	}
	return offset, nil
}

// Read returns records from an offset onwards and waits up to wait for the first one.
func (s *Service) Read(ctx context.Context, name string, from uint64, wait time.Duration) (platform.ReadResult, error) {
	return s.read(ctx, name, from, wait, platform.DefaultMaxBytes)
}

func (s *Service) read(
	ctx context.Context, name string, from uint64, wait time.Duration, maxBytes int,
) (platform.ReadResult, error) {
	s.count(func(c *Counts) { c.Reads++ })
	if err := s.applyFaults(ctx); err != nil {
		return platform.ReadResult{}, fmt.Errorf("read stream %s: %w", name, err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, appended, err := s.readAvailable(name, from, maxBytes)
		if err != nil {
			return result, err
		}
		if len(result.Records) > 0 {
			return result, s.waitWhileSilent(ctx)
		}
		select {
		case <-appended:
		case <-timer.C:
			return result, s.waitWhileSilent(ctx)
		case <-ctx.Done():
			return platform.ReadResult{}, fmt.Errorf("read stream %s: %w", name, ctx.Err())
		}
	}
}

// readAvailable returns the records that are available, and a channel that is closed
// at the next append.
func (s *Service) readAvailable(name string, from uint64, maxBytes int) (platform.ReadResult, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(name)
	result := platform.ReadResult{Oldest: stream.oldest(), Next: stream.next}
	if from < result.Oldest {
		return result, nil, &platform.ExpiredError{Stream: name, From: from, Oldest: result.Oldest}
	}
	result.Records = stream.from(from, maxBytes)
	return result, stream.appended, nil
}

// stream returns a stream after it has dropped expired records. It creates the
// stream if necessary.
func (s *Service) stream(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = newStream()
		s.streams[name] = found
	}
	var before time.Time
	if s.options.MaxAge > 0 {
		before = s.options.Now().Add(-s.options.MaxAge)
	}
	found.expire(s.options.MaxRecords, before)
	return found
}

// applyFaults waits as Faults.Silent and Faults.DelayMillis demand. It returns an
// error if the request must not take effect.
func (s *Service) applyFaults(ctx context.Context) error {
	if err := s.waitWhileSilent(ctx); err != nil {
		return err
	}
	faults := s.Faults()
	if faults.Refuse {
		s.count(func(c *Counts) { c.Refused++ })
		return ErrUnavailable
	}
	if faults.DelayMillis <= 0 {
		return nil
	}
	select {
	case <-time.After(faults.delay()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitWhileSilent waits until Faults.Silent is not set.
func (s *Service) waitWhileSilent(ctx context.Context) error {
	for counted := false; ; counted = true {
		s.mu.Lock()
		silent, faultsChanged := s.faults.Silent, s.faultsChanged
		if silent && !counted {
			s.counts.Silenced++
		}
		s.mu.Unlock()
		if !silent {
			return nil
		}
		select {
		case <-faultsChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// dropsResponse reports whether the response to an append is lost. The caller holds
// the mutex.
func (s *Service) dropsResponse() bool {
	if s.faults.DropNextResponses > 0 {
		s.faults.DropNextResponses--
		return true
	}
	return s.faults.DropResponses
}

func (s *Service) count(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}
