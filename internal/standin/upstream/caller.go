package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	Path   string
	Body   string
	// Timeout is how long the caller waits.
	Timeout time.Duration
}

// Response is the answer to a request.
type Response struct {
	ID        string
	Status    int
	Signature string
	Body      string
	// Close says that no further request may be sent on the connection.
	Close bool
}

// CallerConn is a connection of a caller, which sends one request at a time and
// never one twice.
type CallerConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// DialDaemon opens a connection to a daemon.
func DialDaemon(address string, timeout time.Duration) (*CallerConn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return &CallerConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *CallerConn) Close() { _ = c.conn.Close() }

// Do sends a request and returns its whole answer. After an error the connection
// is of no further use.
func (c *CallerConn) Do(ask Request, timeout time.Duration) (Response, error) {
	request, err := http.NewRequest(ask.Method, "http://"+ask.Host+ask.Path, strings.NewReader(ask.Body))
	if err != nil {
		return Response{}, err
	}
	request.Header.Set(headerID, ask.ID)
	request.Header.Set(headerDeadline, strconv.FormatInt(ask.Timeout.Milliseconds(), 10))
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Response{}, err
	}
	if err := request.Write(c.conn); err != nil {
		return Response{}, fmt.Errorf("write request: %w", err)
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return Response{}, fmt.Errorf("read answer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read body: %w", err)
	}
	return Response{
		ID:        response.Header.Get(headerID),
		Status:    response.StatusCode,
		Signature: response.Header.Get(headerSignature),
		Body:      string(body),
		Close:     response.Close,
	}, nil
}
