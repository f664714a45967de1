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
	// Timeout is the value of the Deadline-Ms header.
	Timeout time.Duration
	// Key is the API key, empty for none.
	Key string
}

// Response is the response to a request.
type Response struct {
	ID        string
	Status    int
	Signature string
	Body      string
	// Close means that no further request may be sent on the connection.
	Close bool
}

// CallerConn is a connection from a caller to a daemon. It carries one request at a
// time and never retries a request.
type CallerConn struct {
	conn   net.Conn
	reader *bufio.Reader
	sentAt time.Time
}

// DialDaemon connects to the caller address of a daemon.
func DialDaemon(address string, timeout time.Duration) (*CallerConn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return &CallerConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *CallerConn) Close() { _ = c.conn.Close() }

// SentAt returns when the last byte of the latest request was written, zero if the
// request was not written completely.
func (c *CallerConn) SentAt() time.Time { return c.sentAt }

// Do sends a request and returns the whole response. After an error the connection
// must not be used again.
func (c *CallerConn) Do(request Request, timeout time.Duration) (Response, error) {
	httpRequest, err := http.NewRequest(request.Method, "http://"+request.Host+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return Response{}, err
	}
	httpRequest.Header.Set(headerRequestID, request.ID)
	httpRequest.Header.Set(headerDeadline, strconv.FormatInt(request.Timeout.Milliseconds(), 10))
	if request.Key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+request.Key)
	}
	c.sentAt = time.Time{}
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Response{}, err
	}
	if err := httpRequest.Write(c.conn); err != nil {
		return Response{}, fmt.Errorf("write request: %w", err)
	}
	c.sentAt = time.Now()
	response, err := http.ReadResponse(c.reader, httpRequest)
	if err != nil {
		return Response{}, fmt.Errorf("read response: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read body: %w", err)
	}
	return Response{
		ID:        response.Header.Get(headerRequestID),
		Status:    response.StatusCode,
		Signature: response.Header.Get(headerSignature),
		Body:      string(body),
		Close:     response.Close,
	}, nil
}
