package timeline

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func fixed() time.Time { return time.UnixMilli(1000) }

func TestBufferKeepsTheNewestAndCountsDrops(t *testing.T) {
	b := NewBuffer(NewClock(fixed), "h", "z", 7, 2)
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

func TestEventsThatWereHeldBackKeepTheirTime(t *testing.T) {
	clock := NewClock(fixed)
	b := NewBuffer(clock, "h", "z", 7, 10)
	held := Event{Kind: Sent, Time: clock.Now()}
	b.Record(Event{Kind: Failed})
	b.Record(held)
	assert.Equal(t, Merge([][]Event{b.Events()})[0].Kind, Sent)
}

func TestHandlerServesWhatReadJSONReads(t *testing.T) {
	b := NewBuffer(NewClock(fixed), "h", "z", 7, 10)
	b.Record(Event{Kind: Sent, Call: "1"})
	b.Record(Event{Kind: Ran, Call: "1"})
	answer := httptest.NewRecorder()
	b.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/v1/timeline", nil))
	events, err := ReadJSON(bytes.NewReader(answer.Body.Bytes()))
	assert.NilError(t, err)
	assert.DeepEqual(t, events, b.Events())
}

func TestReadJSONNamesTheLine(t *testing.T) {
	_, err := ReadJSON(bytes.NewBufferString("{}\n\n{\"time\": 3}\n"))
	assert.ErrorContains(t, err, "line 3")
}
