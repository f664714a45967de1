package rollout

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnknownStateOfReportDecidesNothing guards against a state that another binary
// sends ending a rollout, or ending the process as it is logged.
func TestUnknownStateOfReportDecidesNothing(t *testing.T) {
	for _, wire := range []uint32{0, uint32(Reverted) + 1, 1 << 31} {
		report := decodeReport(&ReportRequest{State: wire}, 1)
		assert.Equal(t, report.State, Serving)
		assert.Equal(t, decodeAnswer(&ReportAnswer{State: wire}).state, Serving)
	}
	assert.Equal(t, decodeReport(&ReportRequest{State: uint32(Reverted)}, 1).State, Reverted)
}
