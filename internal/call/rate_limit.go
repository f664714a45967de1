package call

import (
	"math"
	"time"
)

const (
	// rateBurst is how much of its rate a limited target may get at once.
	rateBurst = 250 * time.Millisecond
	// minRate is the rate, in requests a second, at which a target that takes none is
	// still asked, since only its responses say when that ends.
	minRate = 0.5
)

// RateLimit is a limit that a target has named.
type RateLimit struct {
	// Limited is false if the target takes any rate.
	Limited bool
	// PerSecond is how many requests a second the target takes from all callers.
	PerSecond float64
}

// rateLimiter limits the requests a second that a target gets, as a token bucket. The
// zero value has no limit. It is not safe for concurrent use.
type rateLimiter struct {
	// instance is the target process that the limit belongs to.
	instance string
	// limit is as the target named it, rate the requests a second that it gets.
	limit RateLimit
	rate  float64
	// tokens is how many requests may be sent at updated.
	tokens  float64
	updated time.Time
}

// reset removes the limit if it belongs to another instance.
func (r *rateLimiter) reset(instance string) {
	if r.instance != instance {
		*r = rateLimiter{instance: instance}
	}
}

// set replaces the limit. A target that was not limited before begins without tokens,
// because it has just got requests without a limit.
func (r *rateLimiter) set(limit RateLimit, now time.Time) {
	r.refill(now)
	if !r.limit.Limited {
		r.tokens = 0
	}
	r.limit = limit
	r.rate = max(limit.PerSecond, minRate)
	r.updated = now
	r.tokens = min(r.tokens, r.capacity())
}

// capacity is the number of requests that may be sent at once.
func (r *rateLimiter) capacity() float64 { return max(r.rate*rateBurst.Seconds(), 1) }

func (r *rateLimiter) refill(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.tokens = min(r.tokens+r.rate*elapsed.Seconds(), r.capacity())
		r.updated = now
	}
}

// take takes a token and reports whether there was one.
func (r *rateLimiter) take(now time.Time) bool {
	if !r.limit.Limited {
		return true
	}
	r.refill(now)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// giveBack returns the token of a request that was not sent.
func (r *rateLimiter) giveBack() {
	if r.limit.Limited {
		r.tokens = min(r.tokens+1, r.capacity())
	}
}

// delay returns the time until there is a token, 0 if there is one.
func (r *rateLimiter) delay(now time.Time) time.Duration {
	if !r.limit.Limited {
		return 0
	}
	r.refill(now)
	return time.Duration(math.Ceil(max(1-r.tokens, 0) / r.rate * float64(time.Second)))
}

// interval returns the mean time between two requests, 0 without a limit.
func (r *rateLimiter) interval() time.Duration {
	if !r.limit.Limited {
		return 0
	}
	return time.Duration(float64(time.Second) / r.rate)
}

// usableSlots returns how many of a target's slots requests of a mean service time can
// keep busy at its rate, at least one.
func (r *rateLimiter) usableSlots(slots int, serviceTime time.Duration) int {
	if !r.limit.Limited || serviceTime <= 0 {
		return slots
	}
	return min(slots, max(int(math.Ceil(r.rate*serviceTime.Seconds())), 1))
}
