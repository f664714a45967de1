package call

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// meshHeaderPrefix starts the names of the headers that the mesh itself sets.
	meshHeaderPrefix = "Mulberry-"
	// maxDeadline is the longest deadline that a caller may give.
	maxDeadline = time.Hour
	// maxRetryBudget is the largest accepted value of HeaderRetryBudget.
	maxRetryBudget = 100
	// maxAttempt is the largest accepted value of HeaderAttempt.
	maxAttempt = 1000
	// maxPriority is the largest accepted priority, the least urgent one.
	maxPriority = 1 << 20
	// maxCallIDLength is the length in bytes of the longest accepted call id.
	maxCallIDLength = 128
)

// hopByHopHeaders apply to one connection only and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Expect", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers that may be forwarded.
func endToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from)+8)
	for name, values := range from {
		if !strings.HasPrefix(name, meshHeaderPrefix) {
			to[name] = values
		}
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
	return to
}

// parseDeadline parses the time left for a call, 0 if none is given.
func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	remaining, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", HeaderDeadline, err)
	}
	if remaining <= 0 || remaining > maxDeadline {
		return 0, fmt.Errorf("%s: %s is not between 0 and %s", HeaderDeadline, remaining, maxDeadline)
	}
	return remaining, nil
}

// parseKey checks that a key is a UUIDv7 in its standard text form.
func parseKey(text string) (string, error) {
	const textLength = 36
	if len(text) != textLength {
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

// parseCount parses a number from 0 to limit. It returns fallback if there is
// none.
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

// parseShare parses the share of a client workspace, 0 if none is given.
func parseShare(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", headerShare, err)
	}
	// Negated so that NaN is out of range too.
	if !(share >= publish.MinShare && share <= publish.MaxShare) {
		return 0, fmt.Errorf("%s: %g is not between %g and %g", headerShare, share, publish.MinShare, publish.MaxShare)
	}
	return share, nil
}

// parseCallID checks the call id that another daemon sent: visible ASCII
// characters.
func parseCallID(text string) (string, error) {
	if text == "" || len(text) > maxCallIDLength {
		return "", fmt.Errorf("%s: has %d bytes, 1 to %d are allowed", HeaderCall, len(text), maxCallIDLength)
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return "", fmt.Errorf("%s: %q is not visible ASCII", HeaderCall, text)
		}
	}
	return text, nil
}

// splitPath splits "/{workspace}/{route}/{rest}", an escaped path, into the full
// name of the route and "/{rest}".
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
