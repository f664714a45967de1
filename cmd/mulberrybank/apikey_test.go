package main_test

import (
	"net/http"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/standin/metastore"
)

// TestAPIKeysOfAllDaemons gives daemon processes configurations with keys. It guards
// against a daemon that takes a removed key or refuses an added one, against keys that
// are forgotten while the store is unavailable, and against a key in a log.
func TestAPIKeysOfAllDaemons(t *testing.T) {
	const oldKey, newKey, otherKey = "firstkey2dnr26tta828m", "secondkey9x0q7fkw51c8", "otherkey5v1b3n7m9k2j4"
	f := startFleet(t)
	tenant := func(name string, keys ...string) any {
		return map[string]any{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 500, "burst": 500}
	}
	status := func(h *platformHost, key, path string) int {
		f.apiKey = key
		got, err := f.send(h, http.MethodGet, path, "")
		if err != nil {
			return 0
		}
		return got.status
	}
	everywhere := func(what string, condition func(h *platformHost) bool) {
		t.Helper()
		for _, h := range f.hosts {
			f.await(what+" on "+h.name, func() bool { return condition(h) })
		}
	}
	everywhere("all services are reachable", func(h *platformHost) bool {
		return status(h, "", "/lookup/1") == http.StatusOK && status(h, "", "/lookup/ledger/1") == http.StatusOK
	})

	f.tenants = []any{tenant("wren", oldKey), tenant("teal", otherKey)}
	f.configure("ledger")
	everywhere("keys are needed", func(h *platformHost) bool { return status(h, "", "/lookup/1") == http.StatusUnauthorized })
	for _, h := range f.hosts {
		assert.Equal(t, status(h, newKey, "/lookup/1"), http.StatusUnauthorized)
		assert.Equal(t, status(h, "", "/lookup/ledger/1"), http.StatusOK, "the route is public")
		f.apiKey = oldKey
		got := f.mustSend(h, http.MethodGet, "/lookup/1", "")
		runs, _ := f.findRuns(got.id)
		assert.Equal(t, len(runs), 1)
		assert.DeepEqual(t, runs[0].Header["Tenant"], []string{"wren"})
		assert.Equal(t, len(runs[0].Header["Authorization"]), 0)
		got = f.mustSend(h, http.MethodGet, "/lookup/ledger/1", "")
		runs, _ = f.findRuns(got.id)
		assert.Equal(t, len(runs[0].Header["Tenant"]), 0)
		assert.Equal(t, len(runs[0].Header["Authorization"]), 0)
	}

	f.tenants = []any{tenant("wren", newKey), tenant("teal", otherKey)}
	f.configure("ledger")
	everywhere("the key is replaced", func(h *platformHost) bool {
		return status(h, oldKey, "/lookup/1") == http.StatusUnauthorized && status(h, newKey, "/lookup/1") == http.StatusOK
	})

	// A version that gives one key to two workspaces changes nothing, and so does a
	// store that is unavailable.
	f.tenants = []any{tenant("wren", oldKey), tenant("teal", oldKey)}
	f.configure("ledger")
	f.store.SetFaultFunc(func(string, string) metastore.Fault { return metastore.Fault{Status: http.StatusServiceUnavailable} })
	for _, h := range f.hosts {
		assert.Equal(t, status(h, oldKey, "/lookup/1"), http.StatusUnauthorized)
		assert.Equal(t, status(h, newKey, "/lookup/1"), http.StatusOK)
		assert.Equal(t, status(h, otherKey, "/lookup/1"), http.StatusOK)
	}
	for _, h := range f.hosts {
		text, err := os.ReadFile(h.settings + ".log")
		assert.NilError(t, err)
		for _, key := range []string{oldKey, newKey, otherKey} {
			assert.Assert(t, !strings.Contains(string(text), key), "a key is in the log of %s", h.name)
		}
	}
}
