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

// Services of a fleet: machines run them in turn.
var services = []string{"huts", "ledger"}

// Places of a fleet: machines stand in them in turn.
var places = []struct{ zone, region string }{{"za", "ra"}, {"zb", "ra"}, {"zc", "rb"}}

const (
	// slots is how many requests a target runs at once.
	slots = 8
	// workTime is how long a target works on a request.
	workTime = 15 * time.Millisecond
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 200 * time.Millisecond
	// stopGrace is how long after SIGTERM a process is killed.
	stopGrace = 6 * time.Second
	// readyTimeout bounds one question whether a daemon is ready.
	readyTimeout = time.Second
)

// fleet is a set of machines and the store.
type fleet struct {
	options  Options
	dir      string
	ledger   *ledger
	network  string
	store    *metastore.Service
	machines []*machine
	tasks    conc.WaitGroup
}

// newFleet starts the store, the targets and the daemons.
func newFleet(ctx context.Context, options Options, book *ledger) (*fleet, error) {
	dir, err := os.MkdirTemp(options.WorkDir, "soak-")
	if err != nil {
		return nil, err
	}
	random := options.random()
	f := &fleet{
		options: options,
		dir:     dir,
		ledger:  book,
		network: fmt.Sprintf("127.%d.%d", 1+random.IntN(250), random.IntN(256)),
		store:   metastore.New(),
	}
	listener, err := net.Listen("tcp", f.network+".1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: f.store.Handler()}
	f.tasks.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	for i := range options.Machines {
		if err := f.addMachine(ctx, i, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addMachine(ctx context.Context, index int, store string) error {
	place := places[index%len(places)]
	m := &machine{
		fleet:   f,
		name:    fmt.Sprintf("side-%d", index),
		ip:      fmt.Sprintf("%s.%d", f.network, 2+index),
		zone:    place.zone,
		region:  place.region,
		service: services[index/len(places)%len(services)],
		listen:  make(map[string]string),
	}
	for i, name := range []string{"callers", "calls", "target", "ready", "control", "admin"} {
		m.listen[name] = fmt.Sprintf("%s:%d", m.ip, firstPort+i)
	}
	var err error
	if m.storeLink, err = newProxy(ctx, m.ip+":0", store); err != nil {
		return err
	}
	if m.calls, err = newProxy(ctx, m.ip+":0", m.listen["calls"]); err != nil {
		return err
	}
	if m.control, err = newProxy(ctx, m.ip+":0", m.listen["control"]); err != nil {
		return err
	}
	f.machines = append(f.machines, m)
	if err := os.WriteFile(m.settingsPath(), m.settings(), 0o600); err != nil {
		return err
	}
	if err := m.startTarget(ctx); err != nil {
		return err
	}
	f.tasks.Go(func() { m.keepDaemon(ctx) })
	return nil
}

// remove deletes the files of a run that found nothing.
func (f *fleet) remove() error {
	if !strings.Contains(filepath.Base(f.dir), "soak-") {
		return nil
	}
	return os.RemoveAll(f.dir)
}
