package main

import (
	"context"
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

// playDrain: an upstream deregisters and goes on serving. The daemon that acknowledged
// this is killed and started again. A heartbeat from before the departure arrives late.
func playDrain(f *fleet, trouble bool) error {
	f.configure([]any{
		newRoute("raise", "/raise/", "non_idempotent", "ledger"),
		newRoute("read", "/read/", "idempotent", "heater"),
	}, "ledger", "heater")
	work := 60 * time.Millisecond
	specs := []struct{ name, zone, region, service string }{
		{"side-1", "zone-a", "region-a", "ledger"},
		{"side-2", "zone-b", "region-a", "ledger"},
		{"side-3", "zone-a", "region-a", "heater"},
		{"side-4", "zone-b", "region-a", "heater"},
	}
	for _, s := range specs {
		if _, err := f.addMachine(s.name, s.zone, s.region, s.service, work); err != nil {
			return err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)

	// Clients on three machines that are left alone send all the time.
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for _, m := range f.machines[1:] {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for ctx.Err() == nil {
				clients.Add(1)
				go func() {
					defer clients.Done()
					m.send(context.Background(), "PUT", "/raise/order", "order", 2*time.Second)
				}()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)

	leaving := f.machines[0]
	if len(leaving.upstream.all()) == 0 {
		return fmt.Errorf("no request reached the upstream before it left")
	}
	// This heartbeat is sent now and is on its way for four seconds.
	late := leaving.upstream.nextHeartbeat()
	f.record.printf("upstream %s: sends a heartbeat that is held up on its way: %s", leaving.upstream.id, late)
	time.AfterFunc(4*time.Second, func() {
		f.record.printf("the late heartbeat of upstream %s arrives", leaving.upstream.id)
		_ = leaving.upstream.post("/Instances.Heartbeat/"+leaving.upstream.id, late)
	})
	time.Sleep(500 * time.Millisecond)
	if err := leaving.upstream.deregister(); err != nil {
		return fmt.Errorf("deregistration is not acknowledged: %w", err)
	}
	acknowledged := time.Now()
	f.record.printf("the departure of upstream %s is acknowledged; it goes on serving", leaving.upstream.id)
	time.Sleep(300 * time.Millisecond)
	inTouch := acknowledged
	if trouble {
		leaving.signal(syscall.SIGKILL)
		<-leaving.exited
		time.Sleep(500 * time.Millisecond)
		if err := leaving.start(false); err != nil {
			return err
		}
		inTouch = leaving.startedAt.Add(stableWindow)
	}
	// The upstream serves on for 10 s, then it ends.
	time.Sleep(time.Until(acknowledged.Add(10 * time.Second)))
	leaving.upstream.end()
	cancel()
	clients.Wait()

	bound := acknowledged.Add(drainBound)
	if inTouch.After(bound) {
		bound = inTouch
	}
	bound = bound.Add(500 * time.Millisecond)
	count := 0
	for _, r := range leaving.upstream.all() {
		if r.at.After(bound) {
			count++
		}
	}
	f.record.printf("%d requests reached upstream %s later than %s after the acknowledgement, all machines in touch", count, leaving.upstream.id, bound.Sub(acknowledged).Round(time.Millisecond))
	if count > 0 {
		return errBroken(fmt.Sprintf("DRAIN is broken: %d requests reached the upstream later than drain_s after its departure was acknowledged", count))
	}
	return nil
}
