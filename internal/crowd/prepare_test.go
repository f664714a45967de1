//go:build !race

package crowd

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// hostT is what a host needs of its test.
type hostT interface {
	assert.TestingT
	Helper()
	Cleanup(func())
	TempDir() string
}

// preparation starts a host while the test before it still runs, which saves the second
// that a daemon takes to start. Nothing connects to the host until its own test begins.
type preparation struct {
	host     *host
	failure  string
	dirs     []string
	cleanups []func()
	done     chan struct{}
}

func (p *preparation) Helper()          {}
func (p *preparation) Fail()            { p.failure += "failed\n" }
func (p *preparation) Log(args ...any)  { p.failure += fmt.Sprintln(args...) }
func (p *preparation) FailNow()         { p.Fail(); runtime.Goexit() }
func (p *preparation) Cleanup(f func()) { p.cleanups = append(p.cleanups, f) }

// TempDir returns a new directory that is removed at the end.
func (p *preparation) TempDir() string {
	dir, err := os.MkdirTemp("", "crowd-host-")
	assert.NilError(p, err)
	p.dirs = append(p.dirs, dir)
	return dir
}

// end stops the host.
func (p *preparation) end() {
	<-p.done
	for _, cleanup := range slices.Backward(p.cleanups) {
		cleanup()
	}
	for _, dir := range p.dirs {
		_ = os.RemoveAll(dir)
	}
}

func prepare(adapter string) *preparation {
	p := &preparation{done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.host = startHost(p, adapter)
	}()
	return p
}

// next is the host of the adapter "platform" that is being prepared, nil for none. Tests
// of this package run one at a time.
var next *preparation

// takeHost returns a host that has started, and begins to prepare the next one.
func takeHost(t *testing.T, adapter string) *host {
	t.Helper()
	var current *preparation
	if adapter == "platform" {
		current, next = next, nil
	}
	if current == nil {
		current = prepare(adapter)
	}
	t.Cleanup(current.end)
	<-current.done
	if next == nil {
		next = prepare("platform")
	}
	assert.Assert(t, current.host != nil, current.failure)
	return current.host
}
