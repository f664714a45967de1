package call_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/load"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes atomic.Int64 }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return len(p), nil
}

// logLevels are the levels compared; the lowest one writes none of the lines.
var logLevels = []logrus.Level{logrus.PanicLevel, logrus.InfoLevel, logrus.DebugLevel}

// BenchmarkLogCost compares the processor time and the bytes of the log for each call,
// at half of the capacity and at four times the capacity, with that of daemons that
// log nothing. The processor time is that of callers, daemons and targets together.
func BenchmarkLogCost(b *testing.B) {
	const rounds = 3
	size := serviceSize{slots: 3, work: 50 * time.Millisecond}
	for _, factor := range []float64{0.5, 4} {
		for range rounds {
			for _, i := range rand.Perm(len(logLevels)) {
				level := logLevels[i]
				b.Run(fmt.Sprintf("load=%gx/level=%s", factor, level), func(b *testing.B) { logCost(b, size, level, factor) })
			}
		}
	}
}

// logCost offers load to daemons that log at a level.
func logCost(b *testing.B, size serviceSize, level logrus.Level, factor float64) {
	const deadline, duration = 500 * time.Millisecond, 4 * time.Second
	out := &countingWriter{}
	caller := loggedCaller(b, size, deadline, level, out)
	before := processorTime(b)
	result := measure(b, level.String(), caller, factor*size.capacity(upstreams), duration)
	calls := result.Rate * (duration + warmup).Seconds()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/calls, "cpu-us/call")
	b.ReportMetric(float64(out.bytes.Load())/calls, "log-B/call")
	b.ReportMetric(result.Goodput, "answered/s")
}

// loggedCaller returns a caller of daemons that write their logs to out.
func loggedCaller(b *testing.B, size serviceSize, deadline time.Duration, level logrus.Level, out io.Writer) load.Caller {
	sized := func(service *publish.Service, _ *publish.Route) {
		service.Slots, service.Queue, service.QueueTimeout = size.slots, size.slots, deadline/2
	}
	m := newMesh(b, upstreams, config(sized), func(_ int, o *call.Options) {
		writer := logging.NewAsyncWriter(out)
		b.Cleanup(writer.Close)
		logger, err := logging.New(writer, level.String())
		assert.NilError(b, err)
		o.Logger, o.SampleRatio = logger, 0
	})
	var daemons []string
	for _, n := range m.nodes {
		n.setBehaviour(target.Behaviour{Delay: settings.Duration(size.work)})
		daemons = append(daemons, n.callers.Listener.Addr().String())
	}
	transport := load.NewTransport()
	b.Cleanup(transport.CloseIdleConnections)
	return &load.HTTPCaller{Addresses: daemons, LookupPath: "/" + lookups, Timeout: deadline, Transport: transport}
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
