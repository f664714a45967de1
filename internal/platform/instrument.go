package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// instrumentedLog is a log that counts its calls by method and result.
type instrumentedLog struct {
	KeyedLog
	metrics *metrics.Set
}

// Instrument returns a log that counts its calls in a set of metrics.
func Instrument(log KeyedLog, set *metrics.Set) KeyedLog {
	return &instrumentedLog{KeyedLog: log, metrics: set}
}

func (c *instrumentedLog) count(call string, err error) {
	name := fmt.Sprintf(`mulberrybank_log_calls_total{call=%q,result=%q}`, call, resultLabel(err))
	c.metrics.GetOrCreateCounter(name).Inc()
}

// resultLabel returns the value of the metric label "result" for an error.
func resultLabel(err error) string {
	var expired *ExpiredError
	var status *StatusError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &expired):
		return "expired"
	case errors.As(err, &status):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	default:
		return "error"
	}
}

// Append calls Append of the wrapped log and counts the call.
func (c *instrumentedLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	offset, err := c.KeyedLog.Append(ctx, stream, payload)
	c.count("append", err)
	return offset, err
}

// Read calls Read of the wrapped log and counts the call.
func (c *instrumentedLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error) {
	result, err := c.KeyedLog.Read(ctx, stream, from, wait)
	c.count("read", err)
	return result, err
}

// Put calls Put of the wrapped log and counts the call.
func (c *instrumentedLog) Put(ctx context.Context, stream, key string, payload []byte) error {
	err := c.KeyedLog.Put(ctx, stream, key, payload)
	c.count("put", err)
	return err
}

// PutAt calls PutAt of the wrapped log and counts the call.
func (c *instrumentedLog) PutAt(ctx context.Context, stream, key string, payload []byte, next uint64) error {
	err := c.KeyedLog.PutAt(ctx, stream, key, payload, next)
	c.count("put_at", err)
	return err
}

// Newest calls Newest of the wrapped log and counts the call.
func (c *instrumentedLog) Newest(ctx context.Context, stream string) ([]KeyedRecord, uint64, error) {
	records, next, err := c.KeyedLog.Newest(ctx, stream)
	c.count("newest", err)
	return records, next, err
}

// NewestWithPrefix calls NewestWithPrefix of the wrapped log and counts the call.
func (c *instrumentedLog) NewestWithPrefix(ctx context.Context, stream, prefix string) ([]KeyedRecord, error) {
	records, err := c.KeyedLog.NewestWithPrefix(ctx, stream, prefix)
	c.count("newest_with_prefix", err)
	return records, err
}
