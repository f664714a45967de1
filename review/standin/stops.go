package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Bounds and figures of the site gprsa-mesh-grown.
const (
	graceTime   = 6 * time.Second
	rollGap     = 1300 * time.Millisecond
	historyWork = 4 * time.Second
)

// playStops: the daemons beside the two upstreams of a service are stopped in order, and
// 1.3 s later, as the next of the same rolling restart, one that takes requests for them.
func playStops(f *fleet, trouble bool) error {
	history := newRoute("history", "/history/", "idempotent", "ledger")
	history["timeout_s"], history["target_latency_s"] = 12, 4
	f.configure([]any{history, newRoute("read", "/read/", "idempotent", "heater")}, "ledger", "heater")
	for i, s := range []struct{ zone, service string }{
		{"zone-a", "ledger"}, {"zone-b", "ledger"}, {"zone-a", "heater"}, {"zone-b", "heater"},
		{"zone-a", "heater"}, {"zone-b", "heater"}, {"zone-a", "heater"}, {"zone-b", "heater"},
	} {
		if _, err := f.addMachine(fmt.Sprintf("side-%d", i+1), s.zone, "region-a", s.service, historyWork); err != nil {
			return err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	beside, taker := f.machines[:2], f.machines[2]
	if trouble {
		for _, m := range beside {
			m.signal(syscall.SIGTERM)
		}
	}
	time.Sleep(rollGap)
	taker.signal(syscall.SIGTERM)
	stopped := time.Now()
	var clients sync.WaitGroup
	var mu sync.Mutex
	var got []answer
	for range 10 {
		time.Sleep(30 * time.Millisecond)
		clients.Go(func() {
			one := taker.send(context.Background(), "GET", "/history/heater/17", "", 25*time.Second)
			mu.Lock()
			defer mu.Unlock()
			got = append(got, one)
		})
	}
	clients.Wait()

	lost := 0
	for _, one := range got {
		if f.cutInStop(one, stopped) {
			lost++
		}
	}
	f.record.printf("%d of %d requests were broken off while their upstream was at work and answered by the daemon itself", lost, len(got))
	if lost > 0 {
		return errBroken(fmt.Sprintf("LOST is broken: %d requests, sent within 3 s after the SIGTERM, were broken off before the last sixth of grace_s and answered by the daemon itself", lost))
	}
	for _, one := range got {
		if one.status != 200 {
			return fmt.Errorf("request %s was answered %d, %v", one.id, one.status, one.err)
		}
	}
	return nil
}

// cutInStop reports whether a request that was sent at most 3 s after the SIGTERM of the
// machine that took it was broken off while an upstream was at work on it, would have
// ended there before the last sixth of the grace time, and got no whole answer of an
// upstream.
func (f *fleet) cutInStop(one answer, stopped time.Time) bool {
	if one.status == 200 && one.signature != "" && one.err == nil || one.sent.Sub(stopped) > 3*time.Second {
		return false
	}
	lastSixth := stopped.Add(graceTime - graceTime/6)
	for _, m := range f.machines {
		at, cut := m.upstream.brokenAt(one.id)
		if !cut {
			continue
		}
		for _, r := range m.upstream.all() {
			if r.id != one.id || !at.Before(lastSixth) || !r.at.Add(historyWork).Before(lastSixth) {
				continue
			}
			f.record.printf("request %s: run of upstream %s broken off %.3f s after the SIGTERM of %s, would have ended %.3f s after it; answered %d after %.3f s", one.id, m.upstream.id, at.Sub(stopped).Seconds(), f.machines[2].name, r.at.Add(historyWork).Sub(stopped).Seconds(), one.status, one.sent.Add(one.took).Sub(stopped).Seconds())
			return true
		}
	}
	return false
}

// brokenAt returns when the run of a request was broken off.
func (u *upstream) brokenAt(id string) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, cut := u.brokenOff[id]
	return at, cut
}
