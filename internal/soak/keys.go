package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// Bounds of the quota, as the platform gives them.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// The workspace with a quota gets several times its rate from all daemons.
const (
	quotaTenant = "wren"
	quotaRate   = 20
	quotaBurst  = 20
	otherTenant = "teal"
	// keyMark is part of every key, so that one is recognised at a target.
	keyMark   = "-soak-key-"
	keyedSeed = 500_000
)

// keyedKind are requests that need an API key.
var keyedKind = requestKind{method: http.MethodGet, path: "/keyed/", idempotent: true, services: []string{"huts"}, deadline: requestDeadline}

// lastingKey returns the key that a workspace has in all versions.
func lastingKey(tenant string) string { return tenant + keyMark + "lasting" }

// versionKey returns the key of otherTenant that only one version has.
func versionKey(version int) string { return fmt.Sprintf("%s%s%d", otherTenant, keyMark, version) }

func tenantsOfVersion(version int) []upstream.Tenant {
	return []upstream.Tenant{
		{Name: quotaTenant, Keys: []string{lastingKey(quotaTenant)}, Priority: 1, Rate: quotaRate, Burst: quotaBurst},
		{Name: otherTenant, Keys: []string{lastingKey(otherTenant), versionKey(version)}, Priority: 1},
	}
}

// loopWithKeys sends requests with keys until ctx ends: half of them for the workspace
// with a quota, the others with keys that are known, removed, or of no workspace.
func (c *caller) loopWithKeys(ctx context.Context) {
	defer c.closeConn()
	for wait.For(ctx, time.Duration(c.random.ExpFloat64()*float64(c.thinkTime))) {
		seen := c.run.observedOn(c.host)
		request := c.newRequest(keyedKind)
		valid := chooseKey(request, seen.version, c.random)
		request.routeMayBeMissing = !valid
		same := seen.incarnation != 0 && c.host.runningIncarnation() == seen.incarnation
		_, _ = c.send(ctx, request)
		same = same && c.host.runningIncarnation() == seen.incarnation
		removed := strings.HasPrefix(request.key, otherTenant) && !valid
		if !valid && (same || !removed) && c.run.checker.hasRun(request) {
			c.run.checker.addViolation(WrongKey, request.id, "ran with the key %q, version %d was in force on %s", request.key, seen.version, c.host.name)
		}
	}
}

// chooseKey gives a request a key. It reports whether all versions know the key.
func chooseKey(request *sentRequest, version int, random *rand.Rand) (valid bool) {
	switch random.IntN(8) {
	case 0:
		request.key = "nobody" + keyMark
		return false
	case 1:
		request.key, request.tenant = versionKey(version-1), otherTenant
		return false
	case 2, 3:
		request.key, request.tenant = lastingKey(otherTenant), otherTenant
	default:
		request.key, request.tenant = lastingKey(quotaTenant), quotaTenant
	}
	return true
}

// hasRun reports whether a target ran a request.
func (c *checker) hasRun(request *sentRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(request.runs) > 0
}

// checkKey checks what a target sees of the key and the workspace of a request.
func (c *checker) checkKey(request *sentRequest, run upstream.Run) {
	for name, values := range run.Header {
		if strings.Contains(strings.Join(values, " "), keyMark) {
			c.addViolationLocked(WrongKey, run.ID, "the target got a key in the header %s", name)
		}
	}
	if got := run.Header["Tenant"]; !slices.Equal(got, tenantHeader(request.tenant)) {
		c.addViolationLocked(WrongKey, run.ID, "ran for the workspace %q, its key is of %q", got, request.tenant)
	}
	if request.tenant == quotaTenant && len(request.runs) == 1 {
		c.quotaRuns = append(c.quotaRuns, time.Now())
		c.checkQuota(run.ID)
	}
}

func tenantHeader(tenant string) []string {
	if tenant == "" {
		return nil
	}
	return []string{tenant}
}

// checkQuota checks the window that ends now.
func (c *checker) checkQuota(request string) {
	now := time.Now()
	c.quotaRuns = slices.DeleteFunc(c.quotaRuns, func(at time.Time) bool { return now.Sub(at) > quotaWindow })
	allowed := int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage)) + quotaSlack
	if n := len(c.quotaRuns); n > allowed {
		c.addViolationLocked(OverQuota, request, "%d runs of %s in %s, %d are allowed", n, quotaTenant, quotaWindow, allowed)
	}
}
