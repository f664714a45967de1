package call

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	// headerPrefix begins the names of the mesh's own headers.
	headerPrefix = "Mulberry-"
	// maxDeadline bounds the deadline of a call.
	maxDeadline = time.Hour
	// maxRetryBudget bounds the retries that a call may bring along.
	maxRetryBudget = 100
	// maxAttempt bounds the number of an attempt.
	maxAttempt = 1000
	// maxPriority bounds the rank of a route.
	maxPriority = 1 << 20
	// maxCallID bounds the id of a call, in bytes.
	maxCallID = 128
)

// hopHeaders concern one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Expect", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passHeaders copies the headers that may be passed on.
func passHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from)+8)
	for name, values := range from {
		if !strings.HasPrefix(name, headerPrefix) {
			to[name] = values
		}
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(to, name)
	}
	return to
}

// parseDeadline reads the time left for a call, 0 when none is given.
func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	left, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", HeaderDeadline, err)
	}
	if left <= 0 || left > maxDeadline {
		return 0, fmt.Errorf("%s: %s is not between 0 and %s", HeaderDeadline, left, maxDeadline)
	}
	return left, nil
}

// parseKey checks that a key is a UUIDv7 in its usual form.
func parseKey(text string) (string, error) {
	const usualLength = 36
	if len(text) != usualLength {
		return "", fmt.Errorf("%s: %q is not a UUIDv7", HeaderKey, text)
	}
	key, err := uuid.Parse(text)
	if err != nil {
		return "", fmt.Errorf("%s: %w", HeaderKey, err)
	}
	if key.Version() != 7 || key.Variant() != uuid.RFC4122 {
		return "", fmt.Errorf("%s: %q is not a UUIDv7", HeaderKey, text)
	}
	return key.String(), nil
}

// parseCount reads a number from 0 to limit, or the fallback when none is given.
func parseCount(header http.Header, name string, limit, fallback int) (int, error) {
	text := header.Get(name)
	if text == "" {
		return fallback, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	if count < 0 || count > limit {
		return 0, fmt.Errorf("%s: %d is not between 0 and %d", name, count, limit)
	}
	return count, nil
}

// parseCall checks the id of a call that another daemon sent: visible ASCII.
func parseCall(text string) (string, error) {
	if text == "" || len(text) > maxCallID {
		return "", fmt.Errorf("%s: has %d bytes, 1 to %d are allowed", HeaderCall, len(text), maxCallID)
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return "", fmt.Errorf("%s: %q is not visible ASCII", HeaderCall, text)
		}
	}
	return text, nil
}

// splitPath divides "/{workspace}/{route}/{rest}" of an escaped path into the
// route's full name and "/{rest}".
func splitPath(escaped string) (route, rest string, err error) {
	parts := strings.SplitN(strings.TrimPrefix(escaped, "/"), "/", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return "", "", fmt.Errorf("path %q is not /workspace/route/", escaped)
	}
	route = parts[0] + "/" + parts[1]
	if len(parts) == 2 {
		return route, "/", nil
	}
	return route, "/" + parts[2], nil
}
