// Package logservice is a small stand-in for the platform's append-only log,
// for the demonstration and for tests. It keeps records in memory and shows
// the faults of the real service.
package logservice

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// ErrUnavailable is the failure of a read during an outage.
var ErrUnavailable = errors.New("the log is unavailable")

// Options of a service.
type Options struct {
	// MaxRecords bounds the records kept of each stream, 0 for no bound.
	MaxRecords int
	// MaxAge bounds the age of records, 0 for no bound.
	MaxAge time.Duration
	Now    func() time.Time
}

// Service is an append-only log of several streams. It is a platform.Log for
// use in one process, and serves HTTP by Handler.
type Service struct {
	options Options

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	// lifted is closed when the faults next change.
	lifted chan struct{}
	counts Counts
	// connections holds the client address of every connection that sent a
	// request, and whether it has gone silent.
	connections map[string]bool
}

var _ platform.Log = (*Service)(nil)

// New returns a service without records.
func New(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Service{
		options:     options,
		streams:     map[string]*stream{},
		lifted:      make(chan struct{}),
		connections: map[string]bool{},
	}
}

// SetFaults replaces the faults. Requests held by the earlier ones go on.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.SilenceOpenConnections {
		s.silenceOpen()
		faults.SilenceOpenConnections = false
	}
	s.faults = faults
	close(s.lifted)
	s.lifted = make(chan struct{})
}

// Faults returns the faults that are switched on.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the requests taken since the start.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Append adds a record and returns its offset.
func (s *Service) Append(ctx context.Context, name string, payload []byte) (uint64, error) {
	s.count(func(c *Counts) { c.Appends++ })
	if err := s.pass(ctx); err != nil {
		return 0, fmt.Errorf("append to stream %s: %w: %w", name, platform.ErrRefused, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.stream(name).append(payload, s.options.Now())
	if s.loses() {
		s.counts.DroppedResponses++
		return 0, fmt.Errorf("append to stream %s: %w: answer lost", name, platform.ErrUnknown)
	}
	return offset, nil
}

// Read returns records from an offset on, waiting for the first one.
func (s *Service) Read(ctx context.Context, name string, from uint64, wait time.Duration) (platform.ReadResult, error) {
	return s.read(ctx, name, from, wait, platform.DefaultMaxBytes)
}

func (s *Service) read(
	ctx context.Context, name string, from uint64, wait time.Duration, maxBytes int,
) (platform.ReadResult, error) {
	s.count(func(c *Counts) { c.Reads++ })
	if err := s.pass(ctx); err != nil {
		return platform.ReadResult{}, fmt.Errorf("read stream %s: %w", name, err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, appended, err := s.look(name, from, maxBytes)
		if err != nil {
			return result, err
		}
		if len(result.Records) > 0 {
			return result, s.hold(ctx)
		}
		select {
		case <-appended:
		case <-timer.C:
			return result, s.hold(ctx)
		case <-ctx.Done():
			return platform.ReadResult{}, fmt.Errorf("read stream %s: %w", name, ctx.Err())
		}
	}
}

// look reads what there is, and returns the channel of the next append.
func (s *Service) look(name string, from uint64, maxBytes int) (platform.ReadResult, <-chan struct{}, error) {
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

// stream returns a stream after retention.
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

// pass holds a request as the faults say. It returns an error when the
// request must not take effect.
func (s *Service) pass(ctx context.Context) error {
	if err := s.hold(ctx); err != nil {
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

// hold returns when the service is not silent.
func (s *Service) hold(ctx context.Context) error {
	for counted := false; ; counted = true {
		s.mu.Lock()
		silent, lifted := s.faults.Silent, s.lifted
		if silent && !counted {
			s.counts.Silenced++
		}
		s.mu.Unlock()
		if !silent {
			return nil
		}
		select {
		case <-lifted:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// loses reports whether the answer of an append is lost.
func (s *Service) loses() bool {
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
