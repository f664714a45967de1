package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

const (
	// announceInterval is the time between two announcements.
	announceInterval = time.Second
	// announceTimeout bounds the request of one announcement or withdrawal.
	announceTimeout = 2 * time.Second
)

// announcer sends announcements of the target to the daemon of the host.
type announcer struct {
	url    string
	client *http.Client
}

func newAnnouncer(daemonAddress string) *announcer {
	return &announcer{
		url:    "http://" + daemonAddress + "/announce",
		client: &http.Client{Timeout: announceTimeout},
	}
}

func (a *announcer) announce(ctx context.Context, announcement membership.Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return a.send(ctx, http.MethodPost, body)
}

func (a *announcer) withdraw(ctx context.Context) error {
	return a.send(ctx, http.MethodDelete, nil)
}

func (a *announcer) send(ctx context.Context, method string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, a.url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, a.url, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, a.url, err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d", method, a.url, response.StatusCode)
	}
	return nil
}
