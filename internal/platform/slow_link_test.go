package platform_test

import (
	"bytes"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/standin/slowlink"
)

func TestLongRecordIsReadOverSlowLink(t *testing.T) {
	const (
		linkRate    = 100_000
		recordBytes = 400_000
	)
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(logservice.Options{})
		listener := slowlink.Listen(linkRate)
		server := &http.Server{Handler: service.Handler()}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: listener.DialContext}
		t.Cleanup(func() {
			_ = server.Close()
			transport.CloseIdleConnections()
		})
		client := platform.NewClient("http://log", 300*time.Millisecond, transport)
		_, err := client.Append(t.Context(), stream, bytes.Repeat([]byte{1}, recordBytes))
		assert.NilError(t, err)
		start := time.Now()
		result, err := client.Read(t.Context(), stream, 1, 0)
		assert.NilError(t, err, "after %s", time.Since(start))
		assert.Equal(t, len(result.Records), 1)
	})
}
