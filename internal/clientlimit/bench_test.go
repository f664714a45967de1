package clientlimit_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/clientlimit"
)

// BenchmarkOrdinaryRequest compares a server that passes requests of 200 bytes on to a
// back end, as a daemon does, without and with the limits. It alternates between the two,
// so that changes of the machine's speed affect both. Processor time includes that of the
// client and the back end.
func BenchmarkOrdinaryRequest(b *testing.B) {
	const batch = 200
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	defer backend.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	post := func(url string) {
		response, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", 200)))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		post(backend.URL)
		_, _ = fmt.Fprint(w, "done")
	})
	plain := httptest.NewServer(handler)
	defer plain.Close()
	limited := httptest.NewUnstartedServer(clientlimit.Handler(handler))
	limiter := clientlimit.New(clientlimit.Options{Memory: 184_000_000, Descriptors: 4100})
	limited.Listener = limiter.Listen(limited.Listener, "callers", 1)
	limited.Config.ConnContext, limited.Config.ConnState = clientlimit.ConnContext, clientlimit.ObserveState
	limited.Start()
	defer limited.Close()
	used := map[string]time.Duration{}
	count := 0
	for b.Loop() {
		for _, url := range []string{plain.URL, limited.URL} {
			start := processorTime(b)
			for range batch {
				post(url)
			}
			used[url] += processorTime(b) - start
		}
		count += batch
	}
	perRequest := func(url string) float64 { return float64(used[url].Microseconds()) / float64(count) }
	b.ReportMetric(perRequest(plain.URL), "µs-cpu/without")
	b.ReportMetric(perRequest(limited.URL), "µs-cpu/with")
	b.ReportMetric(100*(perRequest(limited.URL)/perRequest(plain.URL)-1), "%-added")
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
