package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestHostReturnsWithoutSeeds restarts a daemon that has neither seeds nor a
// host log, after a clean shutdown and after a kill. It can learn of the other
// hosts only because its former peers dial it.
func TestHostReturnsWithoutSeeds(t *testing.T) {
	for name, clean := range map[string]bool{"stopped": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, count := startZones(t, 2)
				defer m.killAll()
				m.waitUntil(15*time.Second, "complete", knowsAll(count))
				host := hostName("south", 1, 0)
				if clean {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					assert.NilError(t, m.daemons[host].BeginLeave(ctx))
					assert.NilError(t, m.daemons[host].FinishLeave(ctx))
					cancel()
				}
				m.kill(host)
				time.Sleep(4 * time.Second)
				m.start("south", "south-1", host, 2)
				took := m.waitUntil(3*time.Second, "back", knowsAll(count))
				t.Logf("back after %s", took)
			})
		})
	}
}
