package call

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// The link of a host may be scarcer than its target: long responses leave at the pace of the
// link. They are read whole meanwhile, so that they hold no slot of the target that short
// requests could use, and requests whose responses would wait too long are refused before they
// run. This answers downloads beside calls that running requests make.

const (
	// maxHeldBody is the longest response that is held whole, in bytes, and maxHeldBytes
	// limits all that are held at a time.
	maxHeldBody  = 1 << 20
	maxHeldBytes = 8 << 20
	// lengthWeight is the weight of a new response in the mean length of its rank.
	lengthWeight = 0.1
	// linkWaitDivisor is the part of the time left for a response, as 1/linkWaitDivisor, that
	// those before it may take: it shares the link with those after it.
	linkWaitDivisor = 2
)

// errLinkBusy means that the response would wait for the host's link for too long.
var errLinkBusy = errors.New("link of the host is busy")

// linkQueue accounts for the long responses that wait for the host's link.
type linkQueue struct {
	// rate is the pace of the link in bytes a second, 0 if it is not known.
	rate float64

	mu sync.Mutex
	// held is the number of bytes in memory, expected that of bytes still to be sent,
	// those of requests that run included.
	held, expected int64
	// lengths are the mean lengths of responses by rank.
	lengths map[int]float64
}

// admit reports whether the response to a request of a rank can be sent within a time. It
// reserves the mean length of these, to be given back by add once the length is known.
func (l *linkQueue) admit(rank int, within time.Duration) (reserved int64, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	length := int64(l.lengths[rank])
	if l.rate == 0 || !paced(length) {
		return 0, true
	}
	if float64(l.expected+length)/l.rate > within.Seconds()/linkWaitDivisor {
		return 0, false
	}
	l.expected += length
	return length, true
}

// add changes the number of bytes still to be sent.
func (l *linkQueue) add(change int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected = max(l.expected+change, 0)
}

// observe records the length of a response to a request of a rank.
func (l *linkQueue) observe(rank int, length int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mean, found := l.lengths[rank]; found {
		l.lengths[rank] = mean + lengthWeight*(float64(length)-mean)
		return
	}
	l.lengths[rank] = float64(length)
}

// hold reports whether a body of a length may be held in memory, and accounts for it until
// drop.
func (l *linkQueue) hold(length int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if length > maxHeldBody || l.held+length > maxHeldBytes {
		return false
	}
	l.held += length
	return true
}

func (l *linkQueue) drop(length int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held -= length
}

// sendingBody accounts for the bytes of a body as they are read to be sent.
type sendingBody struct {
	io.ReadCloser
	queue *linkQueue
	left  int64
}

func (b *sendingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	taken := min(int64(n), b.left)
	b.left -= taken
	b.queue.add(-taken)
	return n, err
}

func (b *sendingBody) Close() error {
	b.queue.add(-b.left)
	b.left = 0
	return b.ReadCloser.Close()
}

// receive wraps the response of the target to a request. A long one is read whole, if it may
// be held, and release is called then; otherwise when it has been passed on.
func (l *linkQueue) receive(q *request, response *http.Response, release func(complete bool)) (*targetResponse, error) {
	length := bodyLength(response)
	l.observe(q.rank(), length)
	wholeUpTo, held := int64(maxBufferedBody), int64(0)
	if length > wholeUpTo && l.hold(length) {
		wholeUpTo, held = length, length
	}
	result, err := newTargetResponse(response, q.body.streamed(), wholeUpTo, release)
	if err != nil {
		l.drop(held)
		return nil, err
	}
	result.onRelease(func(bool) { l.drop(held) })
	if paced(length) {
		l.add(length)
		result.body = &sendingBody{ReadCloser: result.body, queue: l, left: length}
	}
	return result, nil
}

// bodyLength returns the length of a response's body in bytes, 0 if it is not known.
func bodyLength(response *http.Response) int64 {
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return 0
	}
	return max(response.ContentLength, 0)
}

// admitToLink refuses a request whose response would wait for the link until its objective has
// passed. It returns the bytes that were reserved for the response.
func (s *Server) admitToLink(q *request) (reserved int64, failure *Error) {
	within := q.deadline.Sub(s.now())
	if q.objective > 0 {
		within = min(within, q.objective)
	}
	reserved, admitted := s.link.admit(q.rank(), within)
	if !admitted {
		s.counters.refused.Inc()
		return 0, s.fail(NotRun, StepAdmit, http.StatusServiceUnavailable, errLinkBusy)
	}
	return reserved, nil
}
