package main_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/secure/securetest"
)

// TestEndToEndWithTLS publishes with the command line and calls through every
// daemon, with TLS on the daemons' connections.
func TestEndToEndWithTLS(t *testing.T) {
	m := startMesh(t, securetest.NewAuthority(t))
	first := m.hosts[0]
	m.await("publication", func() bool {
		_, status := m.runCommand("publish", workspace, "--admin", first.addr(adminPort), "--authority", first.authority, "--wait")
		return status == 0
	})
	for _, h := range m.hosts {
		m.await("a successful lookup through "+h.name, func() bool {
			got, err := m.call(h, statusPath, "", callTimeout)
			return err == nil && got.status == http.StatusOK
		})
	}
	m.awaitKeyedCalls()
	output, status := m.runCommand("status", "--admin", first.addr(adminPort))
	assert.Equal(t, status, 1, output)
}
