//go:build !race

package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// clientFunc sends what one client sends. It returns when the client has nothing more
// to send, or its connection was closed.
type clientFunc func(ctx context.Context, conn net.Conn, path string, number int)

// crowd is a number of clients that connect at once.
type crowd struct {
	name    string
	clients int
	kinds   []clientFunc
}

func (c crowd) kind(number int) clientFunc { return c.kinds[number%len(c.kinds)] }

// place is where a crowd connects to.
type place struct {
	name, port string
	path       func(*host) string
}

var (
	atRoute   = place{"route", "callers", (*host).routePath}
	atNoRoute = place{"no route", "callers", func(*host) string { return "/nothing/here" }}
	atReady   = place{"readiness port", "ready", func(*host) string { return "/ready" }}
	atCalls   = place{"calls port", "calls", func(*host) string { return "/huts/1" }}
	atAdmin   = place{"admin port", "admin", func(*host) string { return "/status" }}
	atTarget  = place{"target port", "target", func(*host) string { return "/Instances.Heartbeat/i-2" }}
	atMetrics = place{"metrics port", "metrics", func(*host) string { return "/metrics" }}
	atControl = place{"control port", "control", func(*host) string { return "/" }}
)

const (
	// many clients exceed the descriptors that the daemon may have open.
	many = 1000
	// several clients send as much as net/http accepts in a head, few send more.
	several = 300
	few     = 100
	// bufferedBody is the longest body that the daemon buffers.
	bufferedBody = 64 << 10
	// excess is how many bytes a client sends over a limit.
	excess = 4 * maxBodyBytes
)

var (
	onePiece       = crowd{"legal bodies in one piece", many, []clientFunc{sendOnePiece}}
	smallPieces    = crowd{"legal bodies in small pieces", many, []clientFunc{sendSmallPieces}}
	chunked        = crowd{"legal bodies in chunks", many, []clientFunc{sendChunked}}
	stopsShort     = crowd{"legal bodies that stop short", many, []clientFunc{sendShort(bufferedBody)}}
	longStopsShort = crowd{"long legal bodies that stop short", few, []clientFunc{sendShort(maxBodyBytes)}}
	statedExcess   = crowd{"bodies over the limit, by length", few, []clientFunc{sendStatedExcess}}
	chunkedExcess  = crowd{"bodies over the limit, in chunks", few, []clientFunc{sendChunkedExcess}}
	manyFields     = crowd{"many short fields", many, []clientFunc{sendManyFields}}
	endlessFields  = crowd{"endless fields", several, []clientFunc{sendEndlessFields}}
	pipelined      = crowd{"pipelined requests without reading", 20, []clientFunc{sendPipelined}}
	pipelinedLong  = crowd{"pipelined bodies without reading", few, []clientFunc{sendPipelinedBodies}}
	slowHeads      = crowd{"heads of a byte a second", many, []clientFunc{sendSlowHead}}
	slowBodies     = crowd{"bodies of a byte a second", many, []clientFunc{sendSlowBody}}
	slowReaders    = crowd{"readers of a byte a second", few, []clientFunc{readSlowly}}
	halfHeads      = crowd{"heads that stop half-way", many, []clientFunc{sendHalfHead}}
	silent         = crowd{"silent connections", many + 200, []clientFunc{sendNothing}}
	extensions     = crowd{"endless chunk extensions", few, []clientFunc{sendExtensions}}
	trailers       = crowd{"endless trailers", few, []clientFunc{sendTrailers}}
	foldedLines    = crowd{"folded lines", several, []clientFunc{sendFolded}}
	noNames        = crowd{"lines without a name", few, []clientFunc{sendNoNames}}
	lengthAndChunk = crowd{"a length and chunks", few, []clientFunc{sendLengthAndChunks}}
	mixed          = crowd{"several kinds", many, []clientFunc{
		sendOnePiece, sendShort(bufferedBody), sendManyFields, sendSlowHead, readSlowly, sendNothing, sendChunked, sendEndlessFields,
	}}
)

// head returns the request line and the usual header lines, without the empty line.
func head(path string, number int, lines ...string) string {
	lines = append([]string{
		fmt.Sprintf("POST %s HTTP/1.1", path), "Host: mesh", fmt.Sprintf("Request-Id: c-%d", number), "Deadline-Ms: 60000",
	}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

func withLength(path string, number, length int) string {
	return head(path, number, fmt.Sprintf("Content-Length: %d", length)) + "\r\n"
}

func withChunks(path string, number int) string {
	return head(path, number, "Transfer-Encoding: chunked") + "\r\n"
}

// send reports whether a text was sent.
func send(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}

// sendFor sends a text again and again until it has sent a number of bytes or the
// connection is closed.
func sendFor(conn net.Conn, text string, bytes int) {
	block := strings.Repeat(text, max(1, 32<<10/len(text)))
	for sent := 0; sent < bytes && send(conn, block); sent += len(block) {
	}
}

// sendSlowly sends one byte a second.
func sendSlowly(ctx context.Context, conn net.Conn, text string) {
	for i := range len(text) {
		if !send(conn, text[i:i+1]) || !pause(ctx) {
			return
		}
	}
}

// pause waits a second and reports whether ctx goes on.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func sendOnePiece(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, withLength(path, number, bufferedBody)+strings.Repeat("x", bufferedBody))
}

func sendSmallPieces(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, withLength(path, number, bufferedBody))
	for range bufferedBody/1024 - 1 {
		if !send(conn, strings.Repeat("x", 1024)) {
			return
		}
	}
}

func sendChunked(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, withChunks(path, number))
	sendFor(conn, "200\r\n"+strings.Repeat("x", 0x200)+"\r\n", bufferedBody)
}

// sendShort sends all of a body but its last byte.
func sendShort(length int) clientFunc {
	return func(_ context.Context, conn net.Conn, path string, number int) {
		send(conn, withLength(path, number, length)+strings.Repeat("x", length-1))
	}
}

func sendStatedExcess(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, withLength(path, number, 1<<30))
	sendFor(conn, "x", excess)
}

func sendChunkedExcess(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, withChunks(path, number))
	sendFor(conn, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", excess)
}

// shortFields returns header lines of five to seven bytes, each with its own name.
func shortFields(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var lines strings.Builder
	for i := 0; lines.Len() < bytes; i++ {
		lines.WriteByte(letters[i%36])
		lines.WriteByte(letters[i/36%36])
		lines.WriteByte(letters[i/36/36%26])
		lines.WriteString(":\r\n")
	}
	return lines.String()
}

// sendManyFields sends a legal head full of short fields, and a body that stops short.
func sendManyFields(_ context.Context, conn net.Conn, path string, number int) {
	start := head(path, number, "Content-Length: 1000")
	send(conn, start+shortFields(maxHeaderBytes-len(start)-16)+"\r\nx")
}

func sendEndlessFields(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, head(path, number))
	send(conn, shortFields(900<<10))
}

func sendPipelined(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, strings.Repeat(withLength(path, number, 0), 400))
}

func sendPipelinedBodies(_ context.Context, conn net.Conn, path string, number int) {
	sendFor(conn, withLength(path, number, bufferedBody)+strings.Repeat("x", bufferedBody), 100*bufferedBody)
}

func sendSlowHead(ctx context.Context, conn net.Conn, path string, number int) {
	sendSlowly(ctx, conn, head(path, number))
}

func sendSlowBody(ctx context.Context, conn net.Conn, path string, number int) {
	send(conn, withLength(path, number, bufferedBody))
	sendSlowly(ctx, conn, strings.Repeat("x", bufferedBody))
}

// readSlowly sends more requests than answers fit into the buffers of its connection,
// and reads a byte a second.
func readSlowly(ctx context.Context, conn net.Conn, path string, number int) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	done := make(chan struct{})
	defer func() { <-done }()
	go func() {
		defer close(done)
		sendFor(conn, withLength(path, number, bufferedBody)+strings.Repeat("x", bufferedBody), 100*bufferedBody)
	}()
	buffer := make([]byte, 1)
	for pause(ctx) {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

func sendHalfHead(_ context.Context, conn net.Conn, path string, number int) {
	text := head(path, number)
	send(conn, text[:len(text)/2])
}

func sendNothing(context.Context, net.Conn, string, int) {}

func sendExtensions(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, withChunks(path, number))
	sendFor(conn, "1;"+strings.Repeat("e", 3000)+"\r\nx\r\n", excess)
}

func sendTrailers(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, withChunks(path, number)+"1\r\nx\r\n0\r\n")
	sendFor(conn, "t: x\r\n", excess)
}

func sendFolded(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, head(path, number, "Folded: x"))
	sendFor(conn, " x\r\n", 900<<10)
}

func sendNoNames(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, head(path, number))
	sendFor(conn, ": x\r\n", 900<<10)
}

func sendLengthAndChunks(_ context.Context, conn net.Conn, path string, number int) {
	send(conn, head(path, number, "Content-Length: 5", "Transfer-Encoding: chunked")+"\r\n")
	sendFor(conn, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", excess)
}
