package call_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// invalidAnswers are what a target in trouble may send in place of a response.
var invalidAnswers = []string{
	"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 042 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	startLine + "Content-Length : 2\r\n\r\nok and more",
	startLine + "Content Length: 2\r\n\r\nok and more",
	startLine + "Content-Length: 2\r\nX Y: a\r\n\r\nok",
	startLine + "Content-Length: 2\r\nX\x01Y: a\r\n\r\nok",
	startLine + "Content-Length: 2\r\nX: a\r\n continued\r\n\r\nok",
	startLine + "Content-Length: 2\r\nX: a\x00b\r\n\r\nok",
	startLine + "Content-Length: 2\r\n: a\r\n\r\nok",
	startLine + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	startLine + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
	startLine + "Content-Length: -2\r\n\r\nok",
	startLine + "Content-Length: +2\r\n\r\nok",
	startLine + "Content-Length: 2, 2, 3\r\n\r\nok",
	startLine + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	startLine + "Transfer-Encoding: identity\r\n\r\nok",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	startLine + "Content-Length: 3\r\n\r\nok",
	startLine + "X: a", "HTTP/1.1 200", "", "\x00\xff\x00\xff\n\n", "ok\r\n\r\n",
}

// Guards against: what is no response in the protocol passed on as one, or ended as a panic
// that cuts the connection of the caller (MIXED).
func TestInvalidResponseOfTargetIsItsFailure(t *testing.T) {
	raw, ways := newRawMesh(t)
	for _, answer := range invalidAnswers {
		raw.answer(answer)
		for _, from := range ways {
			got, err := from.do(t, t.Context(), http.MethodPost, lookups, strings.NewReader("body"))
			assert.NilError(t, err, "%q", answer)
			assert.NilError(t, got.bodyErr, "%q", answer)
			assert.Equal(t, got.status, http.StatusBadGateway, "%q", answer)
			assert.Equal(t, got.outcome(), string(call.Unknown), "%q", answer)
		}
	}
	raw.answer(wholeAnswer)
	for _, from := range ways {
		assert.Equal(t, string(from.get(t, lookups).body), "ok")
	}
}

// Guards against: a trailer that is none in the protocol passed on, or dropped as if it had
// not been there.
func TestInvalidTrailerCutsTheResponse(t *testing.T) {
	raw, ways := newRawMesh(t)
	for _, trailer := range []string{"A b: c", "Content-Length: 5"} {
		raw.answer(startLine + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n\r\n")
		for _, from := range ways {
			got, err := from.do(t, t.Context(), http.MethodGet, lookups, nil)
			assert.NilError(t, err)
			assert.Assert(t, got.bodyErr != nil, "%q", trailer)
		}
	}
}

// FuzzTargetResponse answers calls with raw bytes: the caller gets a response of the protocol,
// and one that looks whole only if the bytes hold it. Anything else is an error of the daemon.
func FuzzTargetResponse(f *testing.F) {
	raw, ways := newRawMesh(f)
	for _, answer := range append([]string{
		wholeAnswer, startLine + "\r\nok", startLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n" + wholeAnswer,
		startLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA b: c\r\n\r\n",
		startLine + "Transfer-Encoding: chunked\r\nTrailer: A b\r\n\r\n2\r\nok\r\n0\r\nA b: c\r\n\r\n",
	}, invalidAnswers...) {
		f.Add(answer)
	}
	f.Fuzz(func(t *testing.T, answer string) {
		raw.answer(answer)
		for _, from := range ways {
			got, err := from.do(t, t.Context(), http.MethodPost, lookups, strings.NewReader("body"))
			if err != nil || got.bodyErr != nil {
				continue
			}
			assert.Assert(t, got.status >= 200 && got.status <= 599, "%d", got.status)
			if got.outcome() != "" {
				assert.Assert(t, got.status >= http.StatusInternalServerError, "%d %s", got.status, got.body)
				continue
			}
			status := fmt.Sprintf("%03d", got.status)
			assert.Assert(t, strings.Contains(answer, status), "status %s is not in %q", status, answer)
			if !strings.Contains(strings.ToLower(answer), "chunked") {
				assert.Assert(t, strings.Contains(answer, string(got.body)), "body %q is not in %q", got.body, answer)
			}
		}
	})
}
