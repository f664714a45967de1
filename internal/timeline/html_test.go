package timeline

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPageEscapesText guards against script injection: texts of callers and
// operators must not be interpreted as markup or code of the page.
func TestPageEscapesText(t *testing.T) {
	hostile := `</script><script>alert(1)</script>`
	var page strings.Builder
	events := []Event{{Host: hostile, Kind: Published, Detail: hostile, Key: `"; alert(1); "`}}
	assert.NilError(t, WriteHTML(&page, events))
	assert.Equal(t, strings.Count(page.String(), "<script>"), 1)
	assert.Equal(t, strings.Count(page.String(), "</script>"), 1)
	quotes := strings.Count(page.String(), `"; alert`)
	assert.Assert(t, quotes > 0)
	assert.Equal(t, strings.Count(page.String(), `\"; alert`), quotes)
	assert.Assert(t, strings.Contains(page.String(), "1 events on 1 hosts"))
}

func TestPageWithoutEvents(t *testing.T) {
	var page strings.Builder
	assert.NilError(t, WriteHTML(&page, nil))
	assert.Assert(t, strings.Contains(page.String(), "0 events on 0 hosts"))
}
