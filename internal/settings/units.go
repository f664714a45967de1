package settings

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
)

// Duration is a duration in its text form with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: %w", text, err)
	}
	*d = Duration(parsed)
	return nil
}

// String formats the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// Size is a number of bytes in its text form with a unit, such as "64KiB".
type Size uint64

// UnmarshalText parses a size with its unit.
func (s *Size) UnmarshalText(text []byte) error {
	if !endsWithUnit(string(text)) {
		return fmt.Errorf("size %q has no unit", text)
	}
	parsed, err := humanize.ParseBytes(string(text))
	if err != nil {
		return fmt.Errorf("size %q: %w", text, err)
	}
	*s = Size(parsed)
	return nil
}

// String formats the size with its unit.
func (s Size) String() string { return humanize.IBytes(uint64(s)) }

func endsWithUnit(text string) bool {
	return len(text) > 1 && (text[len(text)-1] == 'B' || text[len(text)-1] == 'b')
}
