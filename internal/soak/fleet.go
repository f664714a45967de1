package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/standin/metastore"
)

// services are those of the targets: the first host in each location runs the
// first service, the second the next, and so on.
var services = []string{"huts", "ledger"}

// locations are assigned to the hosts of a fleet in rotation.
var locations = []struct{ zone, region string }{{"za", "ra"}, {"zb", "ra"}, {"zc", "rb"}}

const (
	// targetSlots is the number of requests that a target runs concurrently.
	targetSlots = 8
	// targetDelay is the processing time of a request.
	targetDelay = 15 * time.Millisecond
	// restartDelay is the pause before a process is restarted, and before a
	// failed dial or drain is retried.
	restartDelay = 200 * time.Millisecond
	// readyTimeout bounds one readiness check.
	readyTimeout = time.Second
)

// fleet is a set of hosts and the store that they use.
type fleet struct {
	options  Options
	dir      string
	checker  *checker
	ipPrefix string
	store    *metastore.Service
	hosts    []*host
	tasks    conc.WaitGroup
}

// newFleet starts the store, the targets and the daemons.
func newFleet(ctx context.Context, options Options, checker *checker) (*fleet, error) {
	dir, err := os.MkdirTemp(options.WorkDir, "soak-")
	if err != nil {
		return nil, err
	}
	random := options.newNetworkRandom()
	f := &fleet{
		options:  options,
		dir:      dir,
		checker:  checker,
		ipPrefix: fmt.Sprintf("127.%d.%d", 1+random.IntN(250), random.IntN(256)),
		store:    metastore.New(),
	}
	listener, err := net.Listen("tcp", f.ipPrefix+".1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: f.store.Handler()}
	f.tasks.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	for i := range options.Hosts {
		if err := f.addHost(ctx, i, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addHost(ctx context.Context, index int, store string) error {
	location := locations[index%len(locations)]
	h := &host{
		fleet:   f,
		name:    fmt.Sprintf("side-%d", index),
		ip:      fmt.Sprintf("%s.%d", f.ipPrefix, 2+index),
		zone:    location.zone,
		region:  location.region,
		service: services[index/len(locations)%len(services)],
		listen:  make(map[string]string),
	}
	for i, name := range []string{"callers", "calls", "target", "ready", "control", "admin"} {
		h.listen[name] = fmt.Sprintf("%s:%d", h.ip, firstPort+i)
	}
	var err error
	if h.storeProxy, err = newProxy(ctx, h.ip+":0", store); err != nil {
		return err
	}
	if h.callsProxy, err = newProxy(ctx, h.ip+":0", h.listen["calls"]); err != nil {
		return err
	}
	if h.controlProxy, err = newProxy(ctx, h.ip+":0", h.listen["control"]); err != nil {
		return err
	}
	f.hosts = append(f.hosts, h)
	if err := os.WriteFile(h.settingsPath(), h.settings(), 0o600); err != nil {
		return err
	}
	if err := h.startTarget(ctx); err != nil {
		return err
	}
	f.tasks.Go(func() { h.superviseDaemon(ctx) })
	return nil
}

// remove deletes the files of a run without violations.
func (f *fleet) remove() error {
	if !strings.Contains(filepath.Base(f.dir), "soak-") {
		return nil
	}
	return os.RemoveAll(f.dir)
}
