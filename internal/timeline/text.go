package timeline

import (
	"fmt"
	"io"
)

// WriteText writes events as text, one per line.
func WriteText(w io.Writer, events []Event) error {
	for _, event := range events {
		if _, err := fmt.Fprintln(w, event); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return nil
}
