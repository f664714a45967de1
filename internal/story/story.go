// Package story collects the log lines of several daemons about one call and sorts
// them by the hops of the call. It does not need synchronized clocks, since
// attempts are numbered.
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

// Messages of the log lines about a call, as package call logs them.
const (
	messageRequestRefused  = "call: request refused"
	messageRequestFailed   = "call: request failed"
	messageRequestRejected = "call: request rejected"
	messageRequestRan      = "call: request ran"
	messageResponseCut     = "call: response cut"
	messageAttemptFailed   = "call: attempt failed"
	messageAttemptNotMade  = "call: attempt not made"
	messageCallFailed      = "call: call failed"
	messageCallAnswered    = "call: call answered"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	// Daemon is the name of the daemon that wrote the line: the last word before the
	// line in a log of several daemons, else the name of the log.
	Daemon string
	// Fields are the logfmt values by key.
	Fields map[string]string
}

// Read returns the lines of one log about a call. name is the name of the log. It
// is taken for the daemon of lines that do not begin with the name of one.
func Read(log io.Reader, name, call string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, call) {
			continue
		}
		line, err := parseLine(text, name)
		if err == nil && line.Fields["call"] == call {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", name, err)
	}
	return lines, nil
}

// errNotLogLine is returned for text that is not a log line of a daemon.
var errNotLogLine = errors.New("not a log line of a daemon")

// linePrefix is the beginning of each log line of a daemon.
const linePrefix = `time="`

func parseLine(text, name string) (Line, error) {
	start := strings.Index(text, linePrefix)
	if start < 0 {
		return Line{}, errNotLogLine
	}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		name = words[len(words)-1]
	}
	line := Line{Daemon: name, Fields: make(map[string]string)}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return line, decoder.Err()
}

// sortKey orders the lines of a call.
type sortKey struct{ attempt, stage int }

// sortKey returns the sort key of a line. The line of the target's daemon about an
// attempt precedes that of the caller's daemon, and the end of the call is last.
func (l Line) sortKey() sortKey {
	attempt, err := strconv.Atoi(l.Fields["attempt"])
	if err != nil {
		attempt = math.MaxInt
	}
	switch l.Fields["msg"] {
	case messageRequestRan:
		return sortKey{attempt, 0}
	case messageRequestRefused, messageRequestFailed, messageRequestRejected, messageResponseCut:
		return sortKey{attempt, 1}
	case messageAttemptFailed, messageAttemptNotMade:
		return sortKey{attempt, 2}
	default:
		return sortKey{math.MaxInt, 3}
	}
}

// Sort sorts lines by the hops of the call.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		x, y := a.sortKey(), b.sortKey()
		return cmp.Or(cmp.Compare(x.attempt, y.attempt), cmp.Compare(x.stage, y.stage), cmp.Compare(a.Daemon, b.Daemon))
	})
}

// Describe returns a description of the line: one in words for the messages above,
// else the daemon and the message.
func (l Line) Describe() string {
	f := l.Fields
	switch f["msg"] {
	case messageRequestRefused:
		return fmt.Sprintf("attempt %s: %s refuses it at %s: %s (%s of %s slots busy, %s queued)",
			f["attempt"], l.Daemon, f["step"], f["cause"], f["busy"], f["slots"], f["queued"])
	case messageRequestRan:
		return fmt.Sprintf("attempt %s: %s hands it to %s, status %s after %s", f["attempt"], l.Daemon, f["instance"], f["status"], f["took"])
	case messageRequestFailed:
		return fmt.Sprintf("attempt %s: %s gets no response at %s: %s", f["attempt"], l.Daemon, f["step"], f["cause"])
	case messageRequestRejected:
		return fmt.Sprintf("%s rejects it at %s: %s", l.Daemon, f["step"], f["cause"])
	case messageResponseCut:
		return fmt.Sprintf("attempt %s: %s could not send the response: %s", f["attempt"], l.Daemon, f["cause"])
	case messageAttemptFailed:
		next := "none follows"
		if f["reason"] != "" {
			next += ": " + f["reason"]
		}
		if f["again"] == "true" {
			next = "another follows"
		}
		return fmt.Sprintf("attempt %s: %s sent it to %s: %s at %s: %s; %s", f["attempt"], l.Daemon, f["host"], f["outcome"], f["step"], f["cause"], next)
	case messageAttemptNotMade:
		return fmt.Sprintf("attempt %s: %s does not make it: %s", f["attempt"], l.Daemon, f["cause"])
	case messageCallFailed:
		return fmt.Sprintf("end: %s answers %s, %s: %s at %s of %s", l.Daemon, f["status"], f["outcome"], f["cause"], f["step"], f["peer"])
	case messageCallAnswered:
		return fmt.Sprintf("end: %s answers %s from %s, attempt %s, version %s", l.Daemon, f["status"], f["host"], f["attempts"], f["version"])
	default:
		return l.Daemon + ": " + f["msg"]
	}
}
