package timeline

import (
	"net/http"
)

// Handler serves the buffered events as JSON lines. The query parameter "since"
// is a timestamp in the format of Timestamp.String; only later events are
// returned.
func (b *Buffer) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var since Timestamp
		if text := r.URL.Query().Get("since"); text != "" {
			parsed, err := ParseTimestamp(text)
			if err != nil {
				http.Error(w, "since: a timestamp such as 1700000000000.0 is needed", http.StatusBadRequest)
				return
			}
			since = parsed
		}
		w.Header().Set("Content-Type", "application/x-ndjson")
		// An error means that the client closed the connection.
		_ = WriteJSON(w, b.EventsSince(since))
	})
}
