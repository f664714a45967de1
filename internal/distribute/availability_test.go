package distribute

import (
	"context"
	"fmt"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

func TestReadThatIsGivenUpForABetterSourceIsNoOutage(t *testing.T) {
	logger, lines := test.NewNullLogger()
	events := &eventLog{}
	availability := &logAvailability{events: events, log: logging.ForComponent(logger, trafficKind)}
	for _, cause := range []error{errBetterSource, context.Canceled} {
		availability.markUnavailable(fmt.Errorf("read stream: %w", cause))
	}
	assert.Equal(t, len(lines.AllEntries()), 0)
	availability.markUnavailable(fmt.Errorf("read stream: %w", idle.ErrTimeout))
	assert.Equal(t, len(lines.AllEntries()), 1)
	assert.Equal(t, events.count(timeline.PlatformLost), 1)
}
