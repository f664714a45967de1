package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small sites that the checks use.
const (
	stableWindow = 3 * time.Second
	drainBound   = 2500 * time.Millisecond
	addrReuse    = 2 * time.Second
	grace        = 6 * time.Second
)

// Services on the wire.
const (
	heater = "huvo11a"
	ledger = "xano55b"
)

// startSmall starts six machines in three zones of two regions, with an upstream beside each.
func startSmall(f *fleet) {
	specs := []struct{ zone, region, service string }{
		{"accra-tema", "greater-accra", heater}, {"accra-tema", "greater-accra", ledger},
		{"accra-achimota", "greater-accra", heater}, {"accra-achimota", "greater-accra", ledger},
		{"kumasi-central", "ashanti", heater}, {"kumasi-central", "ashanti", ledger},
	}
	f.configure(
		routeOptions{name: "status", prefix: "/lohu930/", kind: "idempotent", service: heater, timeout: 2, attempts: 2},
		routeOptions{name: "order", prefix: "/pufi791/", kind: "non_idempotent", service: ledger, timeout: 2, attempts: 2},
		routeOptions{name: "history", prefix: "/volo102/", kind: "download", service: ledger, timeout: 12, attempts: 2},
	)
	for i, s := range specs {
		f.addHost(fmt.Sprintf("sidecar-%s-%d", s.zone, i%2+1), s.zone, s.region, s.service)
	}
	for _, h := range f.hosts {
		f.start(h)
	}
	for i, h := range f.hosts {
		f.startUpstream(h, fmt.Sprintf("i-%08x", 0x5a1700+i), 18)
	}
	f.awaitServing()
}

// awaitServing waits until each machine is ready and reaches both services.
func (f *fleet) awaitServing() {
	for _, h := range f.hosts {
		f.await(h.name+" is ready and serves", 20*time.Second, func() bool {
			if !f.ready(h) {
				return false
			}
			a := f.send(h, request{method: "GET", path: "/lohu930/2f", deadline: time.Second})
			b := f.send(h, request{method: "POST", path: "/pufi791/2f", body: "x", deadline: time.Second})
			return a.whole() && b.whole()
		})
	}
	f.note("all machines are ready and serve")
}

// serviceCase: the upstream beside a machine ends, its address goes to an upstream of the
// other service, and the settings file of the machine changes without a signal.
func serviceCase(trouble bool) (broken bool) {
	f := newFleet(smallBounds)
	defer f.close()
	startSmall(f)
	h := f.hosts[0]
	others := []*upstream{}
	for _, other := range f.hosts[1:] {
		others = append(others, other.upstream)
	}
	for range 20 {
		f.send(h, request{method: "GET", path: "/lohu930/2f", deadline: time.Second})
	}
	if trouble {
		old := h.upstream
		old.setState("draining")
		f.note("upstream %s (%s) at %s says draining: answered %d", old.id, old.service, old.listener.Addr(), old.heartbeat())
		time.Sleep(drainBound + time.Second)
		f.note("it deregisters: answered %d, and ends", old.deregister())
		old.stop()
		time.Sleep(addrReuse + time.Second)
		h.service = ledger
		h.values["service"] = ledger
		f.writeSettings(h)
		f.note("the settings file of %s now says service %s", h.name, ledger)
		if os.Getenv("REVIEW_SIGHUP") != "" {
			h.signal(syscall.SIGHUP)
			f.note("it gets SIGHUP")
		}
		f.startUpstream(h, "i-7f3a91c2", 18)
		f.note("upstream i-7f3a91c2 (%s) starts at %s", ledger, h.upstream.listener.Addr())
	} else {
		time.Sleep(drainBound + addrReuse + 2*time.Second)
	}
	// Far more than any bound of the sites.
	time.Sleep(12 * time.Second)
	wrong := map[string]int{}
	sent := map[string]answer{}
	for i := range 60 {
		q := request{method: "GET", path: "/lohu930/2f", deadline: time.Second}
		if i%2 == 1 {
			q = request{method: "POST", path: "/pufi791/2f", body: "order", deadline: time.Second}
		}
		a := f.send(h, q)
		f.note("%s", a.String())
		sent[a.id] = a
		time.Sleep(20 * time.Millisecond)
	}
	newRuns := 0
	for _, u := range append(others, h.upstream) {
		for _, r := range u.allRuns() {
			if _, ours := sent[r.id]; !ours {
				continue
			}
			if r.instance == h.upstream.id {
				newRuns++
			}
			if r.caller != h.service {
				wrong[r.caller]++
				f.note("UNASKED: %s (%s) ran %s with Caller-Service %s; the service of the machine is %s", r.instance, r.service, r.id, r.caller, h.service)
			}
		}
	}
	f.note("%d requests began on %s, which runs %s; Caller-Service was another one in %v; the upstream beside it ran %d of them", len(sent), h.name, h.service, wrong, newRuns)
	return len(wrong) > 0
}

// departureCase: an upstream crashes, starts again under its id, and leaves by a
// deregistration before its first heartbeat is due.
func departureCase(trouble bool) (broken bool) {
	f := newFleet(smallBounds)
	defer f.close()
	startSmall(f)
	h := f.hosts[1]
	u := h.upstream
	time.Sleep(2 * heartbeatInterval)
	if trouble {
		u.stop()
		f.note("upstream %s (%s), born %d, crashes", u.id, u.service, u.born)
		time.Sleep(1400 * time.Millisecond)
		u = newUpstreamOf("v1", h.addr(portApp), u.id, h.service, h.zone, h.addr(portControl), 18, heartbeatInterval)
		h.upstream = u
		f.note("it starts again as %s, born %d; its first heartbeat is due %s later", u.id, u.born, heartbeatInterval)
		time.Sleep(heartbeatInterval / 2)
	}
	return f.judgeDeparture(u, 9*time.Second)
}

// judgeDeparture lets an upstream leave by a deregistration and counts the requests that
// reach it later than the bound after the acknowledgement. It serves on all the time.
func (f *fleet) judgeDeparture(u *upstream, watch time.Duration) (broken bool) {
	status := u.deregister()
	acked := now()
	f.note("%s deregisters with born %d: answered %d", u.id, u.born, status)
	if status != 200 {
		must(fmt.Errorf("the deregistration was answered %d", status))
	}
	late := f.countLate(u, acked, watch)
	f.note("%d requests reached %s later than %s after its departure was acknowledged", late, u.id, drainBound)
	return late > 0
}

// countLate sends orders through all machines for a while and counts those that an upstream
// ran though they were sent later than the bound after its departure was acknowledged.
func (f *fleet) countLate(u *upstream, acked, watch time.Duration) (late int) {
	for end := now() + watch; now() < end; time.Sleep(100 * time.Millisecond) {
		for _, from := range f.hosts {
			a := f.send(from, request{method: "POST", path: "/pufi791/2f", body: "order", deadline: time.Second})
			f.note("%s to %s", a.String(), from.name)
			if a.sent < acked+drainBound {
				continue
			}
			for _, r := range u.allRuns() {
				if r.id == a.id {
					late++
					f.note("DRAIN: %s ran %s, sent to %s %.2f s after the acknowledgement", r.instance, r.id, from.name, (a.sent - acked).Seconds())
				}
			}
		}
	}
	return late
}

// downloadBounds are those of demands/ammersee-charts-grown.toml, which has downloads; its
// machines have links of 11 to 200 Mbit/s.
var downloadBounds = map[string]string{
	"bounds.budget_slack": "190", "bounds.retry_budget_ratio": "0.2", "bounds.grace_s": "6", "limits.link_mbps": "11.0", "limits.memory_mb": "184",
}

// stopCase: a machine is stopped while its clients download.
func stopCase(trouble bool) (broken bool) {
	f := newFleet(downloadBounds)
	defer f.close()
	startSmall(f)
	const size, count = 490_000, 12
	for _, h := range f.hosts {
		h.upstream.bodySize = func(path string) int {
			if path == "/volo102/map" {
				return size
			}
			return 0
		}
	}
	h := f.hosts[0]
	var wait sync.WaitGroup
	answers := make([]answer, count)
	for i := range count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = f.send(h, request{method: "GET", path: "/volo102/map", deadline: 10 * time.Second})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stopped := now()
	if trouble {
		f.note("%s gets SIGTERM", h.name)
		h.signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() { h.signal(syscall.SIGKILL) })
	}
	wait.Wait()
	lost := 0
	for _, a := range answers {
		f.note("%s", a.String())
		if a.whole() {
			continue
		}
		for _, other := range f.hosts {
			for _, r := range other.upstream.allRuns() {
				if r.id == a.id {
					f.note("   %s ran it from %.3f to %.3f: %s", r.instance, r.began.Seconds(), r.ended.Seconds(), r.outcome)
					if r.outcome == "200" && r.ended < stopped+grace*5/6 {
						lost++
						f.note("LOST: its connection ended without a complete answer %.2f s after SIGTERM, %.2f s after its upstream had answered", (a.ended - stopped).Seconds(), (a.ended - r.ended).Seconds())
					}
				}
			}
		}
	}
	f.note("%d of %d answers were cut", lost, count)
	return lost > 0
}

// allDeadCase: a departure is acknowledged while the store is out, and all processes are
// killed right after.
func allDeadCase(trouble bool) (broken bool) {
	f := newFleet(smallBounds)
	defer f.close()
	startSmall(f)
	h := f.hosts[1]
	u := h.upstream
	if trouble {
		f.store.down.Store(true)
		f.note("the store is down: 503")
	}
	time.Sleep(time.Second)
	heldUp := u.nextBeat()
	f.note("a heartbeat of %s is sent and held up on its way", u.id)
	time.Sleep(300 * time.Millisecond)
	status := u.deregister()
	acked := now()
	f.note("%s deregisters: answered %d", u.id, status)
	if status != 200 {
		must(fmt.Errorf("the deregistration was answered %d", status))
	}
	if trouble {
		for _, other := range f.hosts {
			other.signal(syscall.SIGKILL)
		}
		f.note("all processes are killed")
		for _, other := range f.hosts {
			<-other.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, other := range f.hosts {
			f.start(other)
		}
		f.note("they start again")
		time.Sleep(1500 * time.Millisecond)
		f.store.down.Store(false)
		f.note("the store is back")
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	f.note("the heartbeat that was held up arrives: answered %d", u.post("/Instances.Heartbeat/"+u.id, heldUp))
	late := f.countLate(u, acked, 6*time.Second)
	f.note("%d requests reached %s later than %s after its departure was acknowledged", late, u.id, drainBound)
	return late > 0
}
