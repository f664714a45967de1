package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/load"
)

// callerFunc implements Caller with a function.
type callerFunc func(ctx context.Context, number int) (load.Kind, load.Outcome)

func (c callerFunc) Call(ctx context.Context, number int) (load.Kind, load.Outcome) {
	return c(ctx, number)
}

// A stall of one second delays the calls scheduled during it, and their latencies
// include the delay.
func TestStallDelaysEveryCallDueDuringIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		stallEnd := start.Add(time.Second)
		result, err := load.Run(t.Context(), load.Options{
			Rate: 100, Duration: 2 * time.Second,
			Caller: callerFunc(func(context.Context, int) (load.Kind, load.Outcome) {
				if now := time.Now(); now.Before(stallEnd) {
					time.Sleep(stallEnd.Sub(now))
				}
				return load.Lookup, load.Answered
			}),
		})
		assert.NilError(t, err)
		assert.Equal(t, result.Lookups.Answered, int64(200))
		assert.Equal(t, result.Goodput, 100.0)
		assert.Assert(t, result.Lookups.P90 > 750*time.Millisecond, "%s", result.Lookups.P90)
		assert.Assert(t, result.Lookups.Max >= time.Second)
	})
}

func TestWarmupIsExcludedAndDropsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, err := load.Run(t.Context(), load.Options{
			Rate: 10, Warmup: time.Second, Duration: time.Second, MaxOutstanding: 1,
			Caller: callerFunc(func(_ context.Context, number int) (load.Kind, load.Outcome) {
				time.Sleep(150 * time.Millisecond)
				return load.Keyed, load.NotRun
			}),
		})
		assert.NilError(t, err)
		assert.Equal(t, result.Keyed.NotRun, int64(5))
		assert.Equal(t, result.Lookups.Dropped, int64(5))
	})
}

func TestRunEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 1050*time.Millisecond)
		defer cancel()
		result, err := load.Run(ctx, load.Options{
			Rate: 10, Duration: time.Hour,
			Caller: callerFunc(func(context.Context, int) (load.Kind, load.Outcome) { return load.Lookup, load.Answered }),
		})
		assert.NilError(t, err)
		assert.Equal(t, result.Lookups.Answered, int64(11))
	})
}

func TestOptionsAreValidated(t *testing.T) {
	noop := callerFunc(func(context.Context, int) (load.Kind, load.Outcome) { return load.Lookup, load.Answered })
	for _, options := range []load.Options{
		{Rate: 1, Duration: 1}, {Caller: noop, Duration: 1}, {Caller: noop, Rate: 1},
	} {
		_, err := load.Run(t.Context(), options)
		assert.ErrorContains(t, err, "load: ")
	}
}

func TestOutputFormats(t *testing.T) {
	result, err := load.Run(t.Context(), load.Options{
		Name: "small", Rate: 1000, Duration: 20 * time.Millisecond,
		Caller: callerFunc(func(_ context.Context, number int) (load.Kind, load.Outcome) {
			return load.Kind(number % 2), load.Answered
		}),
	})
	assert.NilError(t, err)
	var table, plot, text bytes.Buffer
	assert.NilError(t, result.WriteTable(&table))
	assert.Equal(t, strings.Count(table.String(), "small"), 2)
	assert.NilError(t, result.WriteJSON(&text))
	var parsed load.Result
	assert.NilError(t, json.Unmarshal(text.Bytes(), &parsed))
	assert.DeepEqual(t, &parsed, result)
	assert.NilError(t, result.WriteSVG(&plot))
	assertWellFormed(t, &plot)
}

func assertWellFormed(t *testing.T, r io.Reader) {
	decoder := xml.NewDecoder(r)
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		assert.NilError(t, err)
	}
}

func TestHTTPCallerMixesCalls(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/broken":
			w.WriteHeader(http.StatusInternalServerError)
		case r.Header.Get(call.HeaderKey) != "":
			w.Header().Set(call.HeaderOutcome, string(call.NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	c := &load.HTTPCaller{
		Addresses:  []string{strings.TrimPrefix(server.URL, "http://")},
		LookupPath: "/a/b/", KeyedPath: "/a/c/", KeyedShare: 0.25, Timeout: time.Minute,
		Transport: server.Client().Transport,
	}
	counts := map[load.Outcome]int{}
	for number := range 100 {
		kind, outcome := c.Call(t.Context(), number)
		assert.Equal(t, kind == load.Keyed, outcome == load.NotRun)
		counts[outcome]++
	}
	assert.DeepEqual(t, counts, map[load.Outcome]int{load.Answered: 75, load.NotRun: 25})
	c.LookupPath, c.KeyedShare = "/broken", 0
	_, outcome := c.Call(t.Context(), 0)
	assert.Equal(t, outcome, load.Broken)
}
