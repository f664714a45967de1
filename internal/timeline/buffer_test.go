package timeline

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func fixedTime() time.Time { return time.UnixMilli(1000) }

func TestBufferKeepsNewestEventsAndCountsDropped(t *testing.T) {
	b := NewBuffer(NewClock(fixedTime), "h", "z", 7, 2)
	for _, call := range []string{"1", "2", "3"} {
		b.Record(Event{Kind: Sent, Call: call})
	}
	events := b.Events()
	assert.Equal(t, b.Dropped(), uint64(1))
	assert.Equal(t, len(events), 3)
	assert.Equal(t, events[0].Kind, EventsDropped)
	assert.Equal(t, events[1].Call, "2")
	assert.Equal(t, events[2].Incarnation, uint64(7))
	assert.Equal(t, len(b.EventsSince(events[1].Time)), 1)
}

// TestDelayedEventKeepsItsTime guards against delayed events being ordered by the
// time of their recording: an event with an earlier time must precede one that was
// recorded before it.
func TestDelayedEventKeepsItsTime(t *testing.T) {
	clock := NewClock(fixedTime)
	b := NewBuffer(clock, "h", "z", 7, 10)
	delayed := Event{Kind: Sent, Time: clock.Now()}
	b.Record(Event{Kind: Failed})
	b.Record(delayed)
	assert.Equal(t, Merge([][]Event{b.Events()})[0].Kind, Sent)
}

func TestReadJSONReadsResponseOfHandler(t *testing.T) {
	b := NewBuffer(NewClock(fixedTime), "h", "z", 7, 10)
	b.Record(Event{Kind: Sent, Call: "1"})
	b.Record(Event{Kind: Ran, Call: "1"})
	response := httptest.NewRecorder()
	b.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/v1/timeline", nil))
	events, err := ReadJSON(bytes.NewReader(response.Body.Bytes()))
	assert.NilError(t, err)
	assert.DeepEqual(t, events, b.Events())
}

func TestReadJSONErrorContainsLineNumber(t *testing.T) {
	_, err := ReadJSON(bytes.NewBufferString("{}\n\n{\"time\": 3}\n"))
	assert.ErrorContains(t, err, "line 3")
}
