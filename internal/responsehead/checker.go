// Package responsehead checks the heads of HTTP/1 responses as RFC 9112 asks of them. The
// client of net/http is lenient: it takes a status of 000, names of fields with blanks, which
// hide a length, and a length beside a transfer coding. A client that passes responses on
// would vouch for what it took them for.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is wrapped by each error about a head.
var ErrInvalid = errors.New("invalid head of a response")

// maxLineBytes limits one line. It is above the limits on whole heads of the clients that
// use this package.
const maxLineBytes = 256 << 10

// versionLength is the length of "HTTP/1.1", statusLength that of a status.
const (
	versionLength = len("HTTP/1.1")
	statusLength  = 3
)

// phase is the part of a head that comes next.
type phase int

const (
	statusLine phase = iota
	fields
	body
)

// Checker checks the head of one response, with the informational ones before it, as its
// bytes arrive. The zero value expects the first byte. It is not safe for concurrent use.
type Checker struct {
	phase phase
	// line holds the start of a line whose end has not arrived.
	line []byte
	err  error

	status int
	// oldVersion says that the response is one of HTTP/1.0.
	oldVersion         bool
	hasLength, hasCode bool
}

// Reset makes the checker expect the next response on the connection.
func (c *Checker) Reset() { *c = Checker{line: c.line[:0]} }

// Err returns what is wrong with the head so far, nil if nothing is.
func (c *Checker) Err() error { return c.err }

// EndsWithConnection reports whether the head is whole and the body, if there is one, ends
// with the connection, since the head states neither a length nor a transfer coding.
func (c *Checker) EndsWithConnection() bool {
	return c.phase == body && c.err == nil && !c.hasLength && !c.hasCode &&
		c.status != http.StatusNoContent && c.status != http.StatusNotModified
}

// Consume checks the next bytes of the connection. Those after the head are passed over.
func (c *Checker) Consume(p []byte) {
	for len(p) > 0 && c.phase != body && c.err == nil {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			if c.line = append(c.line, p...); len(c.line) > maxLineBytes {
				c.fail("a line is longer than %d bytes", maxLineBytes)
			}
			return
		}
		line := p[:end]
		if len(c.line) > 0 {
			c.line = append(c.line, line...)
			line = c.line
		}
		c.consumeLine(bytes.TrimSuffix(line, []byte("\r")))
		c.line = c.line[:0]
		p = p[end+1:]
	}
}

func (c *Checker) fail(format string, args ...any) {
	c.err = fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

func (c *Checker) consumeLine(line []byte) {
	switch {
	case c.phase == statusLine:
		c.phase = fields
		c.consumeStatusLine(string(line))
	case len(line) == 0:
		c.endHead()
	default:
		c.consumeField(string(line))
	}
}

// consumeStatusLine checks a line such as "HTTP/1.1 200 OK". The blank before a missing
// reason may be missing too, as many servers have it.
func (c *Checker) consumeStatusLine(line string) {
	version, rest, _ := strings.Cut(line, " ")
	if len(version) != versionLength || !strings.HasPrefix(version, "HTTP/1.") || !isDigit(version[versionLength-1]) {
		c.fail("version %.20q", version)
		return
	}
	status, reason, _ := strings.Cut(rest, " ")
	if len(status) != statusLength || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) {
		c.fail("status %.20q", status)
		return
	}
	c.oldVersion = version == "HTTP/1.0"
	c.status = 100*int(status[0]-'0') + 10*int(status[1]-'0') + int(status[2]-'0')
	if c.status < 100 || c.status > 599 {
		c.fail("status %s", status)
		return
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		c.fail("reason of status %s has a control byte", status)
	}
}

// consumeField checks a line such as "Name: value". A line that continues the one before it
// begins with a blank and is not valid either.
func (c *Checker) consumeField(line string) {
	name, value, found := strings.Cut(line, ":")
	switch {
	case !found:
		c.fail("field %.40q has no colon", line)
	case !httpguts.ValidHeaderFieldName(name):
		c.fail("name of a field %.40q", name)
	case !httpguts.ValidHeaderFieldValue(value):
		c.fail("field %s has a control byte", name)
	case strings.EqualFold(name, "Content-Length"):
		c.hasLength = true
	case strings.EqualFold(name, "Transfer-Encoding"):
		c.hasCode = true
	}
}

// endHead ends a head. That of an informational response is followed by another one.
func (c *Checker) endHead() {
	if c.status < http.StatusOK && c.status != http.StatusSwitchingProtocols {
		c.Reset()
		return
	}
	c.phase = body
	switch {
	case c.hasCode && c.hasLength:
		c.fail("both a length and a transfer coding")
	case c.hasCode && c.oldVersion:
		c.fail("a transfer coding in HTTP/1.0")
	}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
