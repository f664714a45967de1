package route_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// Over any run of calls, the calls of each service match its weight to within one
// call for each service of the route.
func TestSplitHoldsOverShortRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lookup := &publish.Route{Name: "fleet/lookup"}
		total := 0
		for i, weight := range rapid.SliceOfN(rapid.IntRange(0, 100), 1, 4).Draw(t, "weights") {
			lookup.Split = append(lookup.Split, publish.Share{Service: fmt.Sprintf("fleet/s%d", i), Weight: weight})
			total += weight
		}
		lookup.Service = lookup.Split[0].Service
		if total == 0 {
			return
		}
		splits := route.NewSplits()
		counts := map[string]int{}
		for calls := 1; calls <= 300; calls++ {
			counts[splits.Pick(lookup)]++
			for _, share := range lookup.Split {
				expected := float64(calls*share.Weight) / float64(total)
				deviation := float64(counts[share.Service]) - expected
				assert.Assert(t, deviation <= float64(len(lookup.Split)) && deviation >= -float64(len(lookup.Split)), "%s is off by %g", share.Service, deviation)
			}
		}
	})
}
