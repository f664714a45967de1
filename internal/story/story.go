// Package story puts the log lines of several daemons about one call in the
// order of its hops. It does not rely on clocks that agree: attempts are numbered.
package story

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"
)

// Messages of the lines that tell of a call, as the daemons write them.
const (
	messageRefused  = "call: request refused"
	messageRan      = "call: request ran"
	messageAttempt  = "call: attempt failed"
	messageFailed   = "call: call failed"
	messageAnswered = "call: call answered"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// Source is the daemon that wrote it: the word before the line where lines of
	// many are mixed, else the name of the log.
	Source string
	// Fields are the values of the line by key.
	Fields map[string]string
}

// Read returns the lines of one log that tell of a call. name stands for the
// daemon unless the lines name theirs.
func Read(log io.Reader, name, call string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, call) {
			continue
		}
		line, err := parse(text, name)
		if err == nil && line.Fields["call"] == call {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", name, err)
	}
	return lines, nil
}

// errNoLine says that a text is no line of a daemon's log.
var errNoLine = errors.New("not a line of a log")

// firstKey begins each line of a daemon's log.
const firstKey = `time="`

func parse(text, name string) (Line, error) {
	start := strings.Index(text, firstKey)
	if start < 0 {
		return Line{}, errNoLine
	}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		name = words[len(words)-1]
	}
	line := Line{Source: name, Fields: make(map[string]string)}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return line, decoder.Err()
}

// place is where a line stands in the story of a call.
type place struct{ attempt, stage int }

// place returns the place of a line: what the daemon of the target says of an
// attempt comes before what the daemon of the caller says of it, and the end of
// the call comes last.
func (l Line) place() place {
	attempt, err := strconv.Atoi(l.Fields["attempt"])
	if err != nil {
		attempt = math.MaxInt
	}
	switch l.Fields["msg"] {
	case messageRefused, messageRan:
		return place{attempt, 0}
	case messageAttempt:
		return place{attempt, 1}
	default:
		return place{math.MaxInt, 2}
	}
}

// Sort puts lines in the order of the call's hops.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		x, y := a.place(), b.place()
		return cmp.Or(cmp.Compare(x.attempt, y.attempt), cmp.Compare(x.stage, y.stage), cmp.Compare(a.Source, b.Source))
	})
}

// Describe says in a sentence what a line tells.
func (l Line) Describe() string {
	f := l.Fields
	switch f["msg"] {
	case messageRefused:
		return fmt.Sprintf("attempt %s: %s refuses it at %s: %s (%s of %s slots busy, %s queued)",
			f["attempt"], l.Source, f["step"], f["cause"], f["busy"], f["slots"], f["queued"])
	case messageRan:
		return fmt.Sprintf("attempt %s: %s hands it to %s, status %s after %s", f["attempt"], l.Source, f["instance"], f["status"], f["took"])
	case messageAttempt:
		next := "none follows"
		if f["again"] == "true" {
			next = "another follows"
		}
		return fmt.Sprintf("attempt %s: %s sent it to %s: %s at %s: %s; %s", f["attempt"], l.Source, f["host"], f["outcome"], f["step"], f["cause"], next)
	case messageFailed:
		return fmt.Sprintf("end: %s answers %s, %s: %s at %s of %s", l.Source, f["status"], f["outcome"], f["cause"], f["step"], f["peer"])
	case messageAnswered:
		return fmt.Sprintf("end: %s answers %s from %s, attempt %s, version %s", l.Source, f["status"], f["host"], f["attempts"], f["version"])
	default:
		return l.Source + ": " + f["msg"]
	}
}
