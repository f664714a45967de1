package load

import (
	"fmt"
	"io"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	// maxNines limits the curves to the 99.99th percentile.
	maxNines = 4
)

// WriteSVG plots the latencies of the result by percentile.
func (r *Result) WriteSVG(w io.Writer) error { return WriteSVG(w, r) }

// WriteSVG plots the latencies of several results by percentile.
func WriteSVG(w io.Writer, results ...*Result) error {
	p := plot.New()
	p.Title.Text = "Latency from the intended start"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.X.Tick.Marker = percentileTicks{}
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, result := range results {
		lines = appendLine(lines, result.Name+" look-ups", result.Lookups)
		lines = appendLine(lines, result.Name+" keyed", result.Keyed)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("add lines to plot: %w", err)
	}
	drawing, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("render plot: %w", err)
	}
	if _, err := drawing.WriteTo(w); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

func appendLine(lines []any, name string, s Summary) []any {
	var points plotter.XYs
	for _, point := range s.Curve {
		nines := ninesOf(point.Percent)
		if nines > maxNines {
			break
		}
		points = append(points, plotter.XY{X: nines, Y: float64(point.Latency) / float64(time.Millisecond)})
	}
	if len(points) == 0 {
		return lines
	}
	return append(lines, name, points)
}

// ninesOf returns the number of nines of a percentile: 1 for 90, 2 for 99, 3 for
// 99.9.
func ninesOf(percent float64) float64 { return -math.Log10(1 - percent/100) }

// percentileTicks labels the axis, whose unit is nines, with percentiles.
type percentileTicks struct{}

// Ticks implements plot.Ticker.
func (percentileTicks) Ticks(_, _ float64) []plot.Tick {
	var ticks []plot.Tick
	for _, percent := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		ticks = append(ticks, plot.Tick{Value: ninesOf(percent), Label: fmt.Sprintf("%g", percent)})
	}
	return ticks
}
