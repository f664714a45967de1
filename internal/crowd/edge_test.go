//go:build !race

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// statusOf sends a request and returns the status of its response.
func statusOf(t *testing.T, h *host, text string) int {
	t.Helper()
	conn, err := net.Dial("tcp", h.listen["callers"])
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestRequestsAtTheLimitsAreServed guards against a limit that refuses a single request
// at the edge: the longest head, of very short fields, the longest buffered body, the
// longest body, and the longest body in chunks.
func TestRequestsAtTheLimitsAreServed(t *testing.T) {
	h := takeHost(t, "platform")
	path := h.routePath()
	start := head(path, 1, "Content-Length: 0")
	// The limit of the configuration counts ": " in each field, also without the space.
	fields := strings.ReplaceAll(shortFields((maxHeaderBytes-len(start)-16)*6/7), ":", ": ")
	assert.Equal(t, statusOf(t, h, start+fields+"\r\n"), http.StatusOK, "head of %d bytes", len(start+fields))
	for i, length := range []int{bufferedBody, bufferedBody + 1, maxBodyBytes} {
		assert.Equal(t, statusOf(t, h, withLength(path, 2+i, length)+strings.Repeat("x", length)), http.StatusOK, "body of %d bytes", length)
	}
	body := strings.Repeat(fmt.Sprintf("1000\r\n%s\r\n", strings.Repeat("x", 0x1000)), maxBodyBytes/0x1000)
	assert.Equal(t, statusOf(t, h, withChunks(path, 9)+body+"0\r\n\r\n"), http.StatusOK, "chunks")
}

// TestRequestsOverTheLimitsAreRefused guards against a limit that is not enforced, or
// whose refusal is not a true one.
func TestRequestsOverTheLimitsAreRefused(t *testing.T) {
	h := takeHost(t, "platform")
	path := h.routePath()
	assert.Equal(t, statusOf(t, h, head(path, 1, "Content-Length: 0")+shortFields(maxHeaderBytes+64)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, statusOf(t, h, withLength(path, 2, maxBodyBytes+1)), http.StatusRequestEntityTooLarge)
}
