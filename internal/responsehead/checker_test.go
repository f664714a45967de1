package responsehead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"
)

const okLine = "HTTP/1.1 200 OK\r\n"

// validHeads are heads that a client must take, invalidHeads ones that it must not pass on.
var (
	validHeads = []string{
		okLine + "Content-Length: 2\r\n\r\nok",
		okLine + "\r\nuntil the end",
		okLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		okLine + "content-length:2\r\nX-Empty:\r\nX-Tab: a\tb\r\nX-Text: \xe4\xf6\r\n\r\nok",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1 204\r\n\r\n",
		"HTTP/1.0 502 Bad Gateway\r\n\r\n",
		"HTTP/1.1 599 \r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + okLine + "Content-Length: 0\r\n\r\n",
	}
	invalidHeads = []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.x 200 OK\r\n\r\n", "http/1.1 200 OK\r\n\r\n", "\r\n" + okLine + "\r\n",
		"HTTP/1.1 200 O\x00K\r\n\r\n",
		okLine + "Content-Length : 2\r\n\r\nok", okLine + "Content Length: 2\r\n\r\nok", okLine + " Content-Length: 2\r\n\r\nok",
		okLine + "Content-\x01Length: 2\r\n\r\nok", okLine + "Content-Length\x00: 2\r\n\r\nok", okLine + "Cont\xe4nt: 2\r\n\r\nok",
		okLine + ": 2\r\n\r\nok", okLine + "no colon\r\n\r\nok",
		okLine + "A: 1\r\n continued: 2\r\n\r\nok", okLine + "A: 1\r\n\tcontinued\r\n\r\nok",
		okLine + "A: a\x00b\r\n\r\nok", okLine + "A: a\rB: b\r\n\r\nok", okLine + "A: a\x7f\r\n\r\nok",
		okLine + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + okLine + "\r\n",
	}
)

// check consumes a response in pieces of a length.
func check(response string, length int) *Checker {
	c := &Checker{}
	for rest := []byte(response); len(rest) > 0; rest = rest[min(length, len(rest)):] {
		c.Consume(rest[:min(length, len(rest))])
	}
	return c
}

// Guards against: statuses and fields that are none in the protocol passed on as a response of
// the target, or framing that hides its body (MIXED).
func TestHeadsAreChecked(t *testing.T) {
	for _, length := range []int{1, 7, 1 << 10} {
		for _, response := range validHeads {
			assert.NilError(t, check(response, length).Err(), "%q", response)
		}
		for _, response := range invalidHeads {
			assert.ErrorIs(t, check(response, length).Err(), ErrInvalid, "%q", response)
		}
	}
}

func TestEndWithConnectionIsTold(t *testing.T) {
	for response, want := range map[string]bool{
		okLine + "\r\n":                      true,
		okLine:                               false,
		okLine + "Content-Length: 0\r\n\r\n": false,
		okLine + "Transfer-Encoding: chunked\r\n\r\n":   false,
		"HTTP/1.1 204 No Content\r\n\r\n":               false,
		"HTTP/1.1 304 Not Modified\r\n\r\n":             false,
		"HTTP/1.1 100 Continue\r\n\r\n":                 false,
		"HTTP/1.1 100 Continue\r\n\r\n" + okLine + "\n": true,
	} {
		assert.Equal(t, check(response, len(response)).EndsWithConnection(), want, "%q", response)
	}
}

func TestCheckerIsUsedAgain(t *testing.T) {
	c := check(invalidHeads[0], 1<<10)
	c.Reset()
	c.Consume([]byte(validHeads[0]))
	assert.NilError(t, c.Err())
	c.Reset()
	c.Consume([]byte(invalidHeads[0]))
	assert.ErrorIs(t, c.Err(), ErrInvalid)
}

// FuzzHead holds the checker against the client of net/http: a response that both take has a
// status, fields and framing that can be passed on, and pieces make no difference.
func FuzzHead(f *testing.F) {
	for _, response := range append(validHeads, invalidHeads...) {
		f.Add([]byte(response))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		whole, pieces := &Checker{}, check(string(response), 3)
		whole.Consume(response)
		assert.Equal(t, whole.Err() == nil, pieces.Err() == nil)
		assert.Equal(t, whole.EndsWithConnection(), pieces.EndsWithConnection())
		if whole.Err() != nil || whole.phase != body || bytes.Contains(response, []byte("HTTP/1.1 1")) || bytes.Contains(response, []byte("HTTP/1.0 1")) {
			return
		}
		got, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(response)), nil)
		if err != nil {
			return
		}
		defer got.Body.Close()
		assert.Assert(t, got.StatusCode >= 100 && got.StatusCode <= 599, "status %d", got.StatusCode)
		for name, values := range got.Header {
			assert.Assert(t, httpguts.ValidHeaderFieldName(name), "%q", name)
			for _, value := range values {
				assert.Assert(t, httpguts.ValidHeaderFieldValue(value), "%q", value)
			}
		}
		if whole.EndsWithConnection() {
			_, after, _ := strings.Cut(string(response), "\n")
			read, err := io.ReadAll(got.Body)
			assert.Assert(t, err == nil || errors.Is(err, io.ErrUnexpectedEOF))
			assert.Assert(t, strings.HasSuffix(after, string(read)), "the body is what follows the head")
		}
	})
}
