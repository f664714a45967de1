package route_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// Over any run of calls each service has its share, to within one call for each
// service of the route.
func TestSplitHoldsOverShortSpans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := &publish.Route{Name: "fleet/lookup"}
		total := 0
		for i, weight := range rapid.SliceOfN(rapid.IntRange(0, 100), 1, 4).Draw(t, "weights") {
			one.Split = append(one.Split, publish.Share{Service: fmt.Sprintf("fleet/s%d", i), Weight: weight})
			total += weight
		}
		one.Service = one.Split[0].Service
		if total == 0 {
			return
		}
		splits := route.NewSplits()
		counts := map[string]int{}
		for calls := 1; calls <= 300; calls++ {
			counts[splits.Pick(one)]++
			for _, share := range one.Split {
				due := float64(calls*share.Weight) / float64(total)
				off := float64(counts[share.Service]) - due
				assert.Assert(t, off <= float64(len(one.Split)) && off >= -float64(len(one.Split)), "%s is off by %g", share.Service, off)
			}
		}
	})
}
