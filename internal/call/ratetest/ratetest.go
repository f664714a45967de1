// Package ratetest checks in tests how many requests a target with a rate limit got.
package ratetest

import (
	"slices"
	"time"
)

// The bound on the requests that a target gets: within any window at most maxExcess times
// what its limit allows, and excessRequests more.
const (
	window         = 4 * time.Second
	maxExcess      = 1.5
	excessRequests = 5
)

// MostInWindow returns the largest number of times within one window.
func MostInWindow(times []time.Time) int {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Allowed returns the bound on MostInWindow for a limit in requests a second.
func Allowed(perSecond float64) int {
	return int(maxExcess*perSecond*window.Seconds() + excessRequests)
}
