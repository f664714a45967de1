package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// maxLineBytes limits the size of one encoded event.
const maxLineBytes = 1 << 20

// WriteJSON writes events as JSON lines.
func WriteJSON(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return fmt.Errorf("write event %d: %w", i, err)
		}
	}
	return nil
}

// ReadJSON reads events written by WriteJSON and skips empty lines. Errors
// contain the line number, counted from 1.
func ReadJSON(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var events []Event
	line := 0
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		var event Event
		if err := json.Unmarshal(text, &event); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		events = append(events, event)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", line+1, err)
	}
	return events, nil
}
