package call_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against: part of a response without a length, whose connection was reset while the
// request was still being written, taken for the whole one (MIXED). The reset must reach a
// write before it reaches a read, so it takes many calls to see it.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	const calls = 300
	raw, ways := newRawMesh(t)
	raw.early.Store(true)
	raw.reset.Store(true)
	raw.answer(startLine + "\r\n" + strings.Repeat("part", 100))
	upload := strings.Repeat("u", 4<<20)
	for _, from := range ways {
		for number := range calls {
			got, err := from.do(t, t.Context(), http.MethodPost, lookups, strings.NewReader(upload))
			if err != nil {
				// The daemon closes the connection, as it reads no more of the upload.
				continue
			}
			assert.NilError(t, got.bodyErr, "call %d through %s: status %d, %d bytes", number, from.name, got.status, len(got.body))
			assert.Assert(t, got.status == http.StatusBadGateway, "call %d: part of a response looks complete: %d bytes", number, len(got.body))
		}
	}
}

// A response without a length that ends with its connection in order is whole, also where it
// begins before the request has been read.
func TestResponseThatEndsWithItsConnectionIsWhole(t *testing.T) {
	raw, ways := newRawMesh(t)
	for _, body := range []string{"", "ok", strings.Repeat("long", 50_000)} {
		raw.answer(startLine + "\r\n" + body)
		for _, from := range ways {
			got := from.post(t, lookups, "body")
			assert.NilError(t, got.bodyErr)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, len(got.body), len(body))
		}
	}
}

// Guards against: a response that broke off looked complete to a caller of HTTP/1.0, whose
// responses end with their connections.
func TestCutResponseIsResetForOldClients(t *testing.T) {
	raw, ways := newRawMesh(t)
	raw.answer(startLine + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
	for _, from := range ways {
		conn, err := net.Dial("tcp", strings.TrimPrefix(from.callers.URL, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET /"+lookups+" HTTP/1.0\r\nHost: mesh\r\n\r\n")
		assert.NilError(t, err)
		_, err = io.ReadAll(conn)
		assert.ErrorContains(t, err, "reset")
		_ = conn.Close()
	}
}
