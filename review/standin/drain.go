package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site gprsa-mesh.
const (
	drainBound   = 2500 * time.Millisecond
	stableWindow = 3 * time.Second
)

// boundMargin is added to the bounds, so that a request that is on its way counts as
// in time.
const boundMargin = 500 * time.Millisecond

// serveTime is how long an upstream that leaves goes on serving.
const serveTime = 10 * time.Second

// workTime is how long a request runs.
const workTime = 120 * time.Millisecond

// answers holds what the clients got, by the id of the request.
type answers struct {
	mu   sync.Mutex
	byID map[string]answer
}

func (a *answers) add(got answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[got.id] = got
}

// startDrainFleet starts two upstreams of each of two services and clients on three of
// the four machines. Those three are left alone. stop ends the clients and returns what
// they got.
func startDrainFleet(f *fleet) (stop func() *answers, err error) {
	f.configure([]any{
		newRoute("raise", "/raise/", "non_idempotent", "ledger"),
		newRoute("read", "/read/", "idempotent", "heater"),
	}, "ledger", "heater")
	specs := []struct{ name, zone, service string }{
		{"side-1", "zone-a", "ledger"},
		{"side-2", "zone-b", "ledger"},
		{"side-3", "zone-a", "heater"},
		{"side-4", "zone-b", "heater"},
	}
	for _, s := range specs {
		if _, err := f.addMachine(s.name, s.zone, "region-a", s.service, workTime); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	all := &answers{byID: make(map[string]answer)}
	for _, m := range f.machines[1:] {
		clients.Go(func() {
			for ctx.Err() == nil {
				clients.Go(func() { all.add(m.send(context.Background(), "PUT", "/raise/order", "order", 2*time.Second)) })
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if len(f.machines[0].upstream.all()) == 0 {
		cancel()
		clients.Wait()
		return nil, fmt.Errorf("no request reached the upstream before it left")
	}
	return func() *answers {
		cancel()
		clients.Wait()
		return all
	}, nil
}

// lateRuns returns an error if requests reached an upstream after a time. It also counts
// those of them that were lost: begun there, and answered with no success.
func lateRuns(u *upstream, got *answers, acknowledged, bound time.Time) error {
	count, lost := 0, 0
	for _, r := range u.all() {
		if !r.at.After(bound.Add(boundMargin)) {
			continue
		}
		count++
		if got.byID[r.id].status != 200 {
			lost++
		}
	}
	u.record.printf("%d requests reached upstream %s later than %s after its departure was acknowledged", count, u.id, bound.Add(boundMargin).Sub(acknowledged).Round(time.Millisecond))
	u.record.printf("%d of them, which may run once only, were lost when the upstream ended", lost)
	if count > 0 {
		return errBroken(fmt.Sprintf("DRAIN is broken: %d requests reached the upstream later than drain_s after its departure was acknowledged; %d of them were lost", count, lost))
	}
	return nil
}

// playRestart: an upstream deregisters and goes on serving. The daemon that acknowledged
// this is killed and started again. A heartbeat from before the departure arrives late.
func playRestart(f *fleet, trouble bool) error {
	stop, err := startDrainFleet(f)
	if err != nil {
		return err
	}
	leaving := f.machines[0]
	// This heartbeat is sent now and is on its way for four seconds.
	late := leaving.upstream.nextHeartbeat()
	f.record.printf("upstream %s: sends a heartbeat that is held up on its way: %s", leaving.upstream.id, late)
	time.AfterFunc(4*time.Second, func() {
		f.record.printf("the late heartbeat of upstream %s arrives", leaving.upstream.id)
		_ = leaving.upstream.post("/Instances.Heartbeat/"+leaving.upstream.id, late)
	})
	time.Sleep(500 * time.Millisecond)
	if err := leaving.upstream.deregister(); err != nil {
		stop()
		return fmt.Errorf("deregistration is not acknowledged: %w", err)
	}
	acknowledged := time.Now()
	f.record.printf("the departure of upstream %s is acknowledged; it goes on serving", leaving.upstream.id)
	time.Sleep(300 * time.Millisecond)
	bound := acknowledged.Add(drainBound)
	if trouble {
		leaving.signal(syscall.SIGKILL)
		<-leaving.exited
		time.Sleep(500 * time.Millisecond)
		if err := leaving.start(false); err != nil {
			stop()
			return err
		}
		// The machine that is started again is in touch from here on.
		if inTouch := leaving.startedAt.Add(stableWindow); inTouch.After(bound) {
			bound = inTouch
		}
	}
	time.Sleep(time.Until(acknowledged.Add(serveTime)))
	leaving.upstream.end()
	time.Sleep(time.Second)
	return lateRuns(leaving.upstream, stop(), acknowledged, bound)
}

// playForeign: an upstream deregisters and goes on serving. Later a heartbeat with
// missing fields comes from another writer and bears the upstream's id. No process is
// touched, so that all machines are in touch all the while.
func playForeign(f *fleet, trouble bool) error {
	stop, err := startDrainFleet(f)
	if err != nil {
		return err
	}
	leaving := f.machines[0]
	if err := leaving.upstream.deregister(); err != nil {
		stop()
		return fmt.Errorf("deregistration is not acknowledged: %w", err)
	}
	acknowledged := time.Now()
	f.record.printf("the departure of upstream %s is acknowledged; it goes on serving", leaving.upstream.id)
	time.Sleep(4 * time.Second)
	if trouble {
		foreign, _ := json.Marshal(map[string]any{
			"address":   leaving.upstream.address(),
			"node_info": map[string]any{"service": leaving.service, "slots": leaving.upstream.slots},
			"status":    map[string]any{"state": "ready"},
		})
		f.record.printf("a heartbeat of another writer, without born, version, zone, sequence and cold_left_s, reaches daemon %s", leaving.name)
		_ = leaving.upstream.post("/Instances.Heartbeat/"+leaving.upstream.id, foreign)
	}
	time.Sleep(time.Until(acknowledged.Add(serveTime)))
	leaving.upstream.end()
	time.Sleep(time.Second)
	return lateRuns(leaving.upstream, stop(), acknowledged, acknowledged.Add(drainBound))
}
