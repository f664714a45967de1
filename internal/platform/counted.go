package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counted is a log whose calls are counted by kind and result.
type counted struct {
	KeyedLog
	metrics *metrics.Set
}

// Instrument returns a log whose calls are counted in a set of metrics.
func Instrument(log KeyedLog, set *metrics.Set) KeyedLog {
	return &counted{KeyedLog: log, metrics: set}
}

func (c *counted) note(call string, err error) {
	name := fmt.Sprintf(`mulberrybank_log_calls_total{call=%q,result=%q}`, call, resultOf(err))
	c.metrics.GetOrCreateCounter(name).Inc()
}

// resultOf names the result of a call.
func resultOf(err error) string {
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

// Append is counted.
func (c *counted) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	offset, err := c.KeyedLog.Append(ctx, stream, payload)
	c.note("append", err)
	return offset, err
}

// Read is counted.
func (c *counted) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error) {
	result, err := c.KeyedLog.Read(ctx, stream, from, wait)
	c.note("read", err)
	return result, err
}

// Put is counted.
func (c *counted) Put(ctx context.Context, stream, key string, payload []byte) error {
	err := c.KeyedLog.Put(ctx, stream, key, payload)
	c.note("put", err)
	return err
}

// Newest is counted.
func (c *counted) Newest(ctx context.Context, stream string) ([]KeyedRecord, uint64, error) {
	records, next, err := c.KeyedLog.Newest(ctx, stream)
	c.note("newest", err)
	return records, next, err
}
