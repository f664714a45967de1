package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of a run.
type Result struct {
	Name string `json:"name"`
	// Rate is the number of calls scheduled a second.
	Rate float64 `json:"rate"`
	// Seconds is how long calls were measured.
	Seconds float64 `json:"seconds"`
	// Goodput is the number of answered calls a second.
	Goodput float64 `json:"goodput"`
	Lookups Summary `json:"lookups"`
	Keyed   Summary `json:"keyed"`
}

// Summary holds the outcomes and latencies of the calls of one kind.
type Summary struct {
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	Broken   int64 `json:"broken"`
	Dropped  int64 `json:"dropped"`
	// Latencies of the answered calls, counted from the scheduled time.
	P50  time.Duration `json:"p50_ns"`
	P90  time.Duration `json:"p90_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
	Max  time.Duration `json:"max_ns"`
	// Curve is the latency distribution, for plots.
	Curve []Quantile `json:"curve,omitempty"`
}

// Quantile is one point of a latency distribution.
type Quantile struct {
	// Percent is from 0 to 100.
	Percent float64       `json:"percent"`
	Latency time.Duration `json:"ns"`
}

func (r *recorder) result(options Options, measuredTime time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &Result{
		Name:    options.Name,
		Rate:    options.Rate,
		Seconds: measuredTime.Seconds(),
		Lookups: r.summary(Lookup),
		Keyed:   r.summary(Keyed),
	}
	answered := result.Lookups.Answered + result.Keyed.Answered
	if measuredTime > 0 {
		result.Goodput = float64(answered) / measuredTime.Seconds()
	}
	return result
}

func (r *recorder) summary(kind Kind) Summary {
	counts, latencies := r.counts[kind], r.answered[kind]
	at := func(percent float64) time.Duration {
		return time.Duration(latencies.ValueAtQuantile(percent))
	}
	return Summary{
		Answered: counts[Answered],
		NotRun:   counts[NotRun],
		Unknown:  counts[Unknown],
		Broken:   counts[Broken],
		Dropped:  counts[Dropped],
		P50:      at(50),
		P90:      at(90),
		P99:      at(99),
		P999:     at(99.9),
		Max:      time.Duration(latencies.Max()),
		Curve:    curve(latencies),
	}
}

// curve returns the latency distribution up to the highest percentile that the
// number of calls supports.
func curve(latencies *hdrhistogram.Histogram) []Quantile {
	if latencies.TotalCount() == 0 {
		return nil
	}
	var points []Quantile
	for _, bracket := range latencies.CumulativeDistribution() {
		points = append(points, Quantile{Percent: bracket.Quantile, Latency: time.Duration(bracket.ValueAt)})
	}
	return points
}

// WriteJSON writes the result as one JSON object.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the result as a table with a header.
func (r *Result) WriteTable(w io.Writer) error { return WriteTable(w, r) }

// WriteTable writes results as one table with a header.
func WriteTable(w io.Writer, results ...*Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "run\tcalls\trate/s\tgoodput/s\tanswered\tnot-run\tunknown\tbroken\tdropped\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, result := range results {
		writeRow(table, result, "look-ups", result.Lookups)
		if result.Keyed.total() > 0 {
			writeRow(table, result, "keyed", result.Keyed)
		}
	}
	return table.Flush()
}

func (s Summary) total() int64 { return s.Answered + s.NotRun + s.Unknown + s.Broken + s.Dropped }

func writeRow(w io.Writer, result *Result, kind string, s Summary) {
	goodput := 0.0
	if result.Seconds > 0 {
		goodput = float64(s.Answered) / result.Seconds
	}
	fmt.Fprintf(w, "%s\t%s\t%.0f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n",
		result.Name, kind, result.Rate, goodput,
		s.Answered, s.NotRun, s.Unknown, s.Broken, s.Dropped,
		formatMillis(s.P50), formatMillis(s.P99), formatMillis(s.P999), formatMillis(s.Max))
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.3f", float64(d)/float64(time.Millisecond))
}
