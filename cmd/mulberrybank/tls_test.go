package main_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/secure/securetest"
)

// TestWholePathWithTLS publishes with the command line and calls through two
// daemons whose connections are secured.
func TestWholePathWithTLS(t *testing.T) {
	m := startMesh(t, securetest.NewAuthority(t))
	first := m.hosts[0]
	m.await("publication", func() bool {
		_, status := m.command("publish", workspace, "--admin", first.at(adminPort), "--authority", first.authority, "--wait")
		return status == 0
	})
	for _, h := range m.hosts {
		m.await("a look-up through "+h.name, func() bool {
			got, err := m.call(h, statusPath, "", callTimeout)
			return err == nil && got.status == http.StatusOK
		})
	}
	m.awaitKeys()
	output, status := m.command("status", "--admin", first.at(adminPort))
	assert.Equal(t, status, 1, output)
}
