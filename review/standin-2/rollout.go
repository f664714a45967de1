package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of demands/ammersee-charts-grown.toml, which has rollouts.
const (
	canaryShare   = 0.1
	canarySlack   = 50
	rollbackBound = 5 * time.Second
	orderDuration = 16 * time.Second
)

var rolloutBounds = map[string]string{
	"bounds.budget_slack": "190", "bounds.retry_budget_ratio": "0.2", "bounds.grace_s": "6",
	"bounds.canary_share": "0.1", "bounds.canary_slack": "50", "bounds.rollback_s": "5",
}

// traffic sends requests of one kind through all machines at a steady rate.
type traffic struct {
	fleet  *fleet
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	sentAt map[string]sentRequest
	failed atomic.Int64
}

type sentRequest struct {
	at   time.Duration
	from string
}

func (f *fleet) startTraffic(perSecond int, path string) *traffic {
	t := &traffic{fleet: f, stop: make(chan struct{}), sentAt: map[string]sentRequest{}}
	interval := time.Duration(len(f.hosts)) * time.Second / time.Duration(perSecond)
	for _, h := range f.hosts {
		t.wait.Add(1)
		go func() {
			defer t.wait.Done()
			transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-t.stop:
					return
				case <-ticker.C:
					t.wait.Add(1)
					go func() {
						defer t.wait.Done()
						t.one(client, h, path)
					}()
				}
			}
		}()
	}
	return t
}

func (t *traffic) one(client *http.Client, h *host, path string) {
	id := t.fleet.newID()
	r, _ := http.NewRequest(http.MethodGet, "http://"+h.addr(portOutbound)+path, nil)
	r.Host = "ficu95.example"
	r.Header["Request-Id"] = []string{id}
	r.Header["Deadline-Ms"] = []string{strconv.Itoa(2000)}
	t.mu.Lock()
	t.sentAt[id] = sentRequest{now(), h.name}
	t.mu.Unlock()
	response, err := client.Do(r)
	if err != nil {
		t.failed.Add(1)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.failed.Add(1)
	}
}

// rolloutCase: a version turns bad when it gets all requests, and the daemon that decides
// on the rollout is killed.
func rolloutCase(trouble bool) (broken bool) {
	f := newFleet(rolloutBounds)
	defer f.close()
	f.configure(routeOptions{name: "status", prefix: "/lohu930/", kind: "idempotent", service: heater, timeout: 2, attempts: 2})
	zones := []string{"bayern-a", "nordsee-a", "bayern-b", "nordsee-b"}
	for i := range 8 {
		zone := zones[i%4]
		f.addHost(fmt.Sprintf("sidecar-%s-%d", zone, i/4+1), zone, strings.TrimSuffix(strings.TrimSuffix(zone, "-a"), "-b"), heater)
	}
	old, fresh := f.hosts[:4], f.hosts[4:]
	for _, h := range f.hosts {
		f.start(h)
	}
	for i, h := range old {
		f.startUpstream(h, fmt.Sprintf("i-%08x", 0x5a1700+i), 18)
	}
	for _, h := range f.hosts {
		f.await(h.name+" serves", 20*time.Second, func() bool {
			a := f.send(h, request{method: "GET", path: "/lohu930/2f", deadline: time.Second})
			return f.ready(h) && a.whole()
		})
	}
	t := f.startTraffic(600, "/lohu930/2f")
	time.Sleep(12 * time.Second)
	for i, h := range fresh {
		h.upstream = newUpstreamOf("v2", h.addr(portApp), fmt.Sprintf("i-%08x", 0x7f3a00+i), heater, h.zone, h.addr(portControl), 18, 0)
	}
	var v2 []*upstream
	for _, h := range fresh {
		v2 = append(v2, h.upstream)
	}
	f.store.put("keyed.op", "rollout/"+heater, fmt.Appendf(nil, `{"service":%q,"target_version":"v2","duration_s":%g}`, heater, orderDuration.Seconds()))
	ordered := now()
	f.note("the operator orders v2 of %s within %s", heater, orderDuration)
	for shareOf(f, v2, 100*time.Millisecond) < 0.6 {
		if now() > ordered+orderDuration+2*time.Second {
			must(fmt.Errorf("v2 never got all requests: status %s", f.store.value("keyed.status", "rollout/"+heater)))
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.note("v2 gets all requests %.2f s after the order", (now() - ordered).Seconds())
	time.Sleep(150 * time.Millisecond)
	for _, u := range v2 {
		u.bad.Store(true)
	}
	f.note("v2 turns bad: every other answer of it is a 500")
	home := f.store.lastWriter()
	if trouble {
		for _, h := range f.hosts {
			if h.name == home {
				h.signal(syscall.SIGKILL)
				<-h.exited
				f.note("%s, which last wrote under a condition, is killed", home)
				time.AfterFunc(500*time.Millisecond, func() {
					f.start(h)
					f.note("it starts again")
				})
			}
		}
	}
	time.Sleep(max(ordered+orderDuration, now()+12*time.Second) - now())
	close(t.stop)
	t.wait.Wait()
	return f.judgeExposure(t, v2, ordered, home, trouble)
}

// shareOf returns the part of the runs of a service in the last span that were those of some
// upstreams.
func shareOf(f *fleet, of []*upstream, span time.Duration) float64 {
	count := func(u *upstream) (n float64) {
		u.mu.Lock()
		defer u.mu.Unlock()
		for i := len(u.runs) - 1; i >= 0 && u.runs[i].began > now()-span; i-- {
			n++
		}
		return n
	}
	var all, part float64
	for _, h := range f.hosts {
		if h.upstream != nil {
			all += count(h.upstream)
		}
	}
	for _, u := range of {
		part += count(u)
	}
	return part / max(all, 1)
}

func (f *fleet) judgeExposure(t *traffic, v2 []*upstream, ordered time.Duration, killed string, trouble bool) (broken bool) {
	var total, exposed, bad, late int
	var fiftieth time.Duration
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sent := range t.sentAt {
		if sent.at >= ordered && sent.at <= ordered+orderDuration {
			total++
		}
	}
	var badEnds []time.Duration
	for _, r := range runsOf(v2...) {
		sent := t.sentAt[r.id]
		if r.outcome == "500" {
			bad++
			badEnds = append(badEnds, r.ended)
		}
		if sent.from == killed && trouble {
			continue
		}
		if r.began >= ordered && r.began <= ordered+orderDuration {
			exposed++
		}
	}
	fiftieth = nth(badEnds, 50)
	perSecond := map[int]int{}
	for _, r := range runsOf(v2...) {
		sent := t.sentAt[r.id]
		perSecond[int((r.began-ordered)/time.Second)]++
		if fiftieth > 0 && sent.at > fiftieth+rollbackBound && !(sent.from == killed && trouble) {
			late++
		}
	}
	for second := range 30 {
		if perSecond[second] > 0 {
			f.note("second %d after the order: v2 ran %d", second, perSecond[second])
		}
	}
	allowed := canaryShare*float64(total) + canarySlack
	f.note("status in the store: %s", f.store.value("keyed.status", "rollout/"+heater))
	f.note("%d requests were sent between the order and its deadline; v2 may get %.0f of them and got %d from machines in touch; %d bad answers, the 50th at %.2f s after the order; %d requests to v2 were sent later than %s after that; %d requests failed",
		total, allowed, exposed, bad, (fiftieth - ordered).Seconds(), late, rollbackBound, t.failed.Load())
	if float64(exposed) > allowed {
		f.note("EXPOSURE: v2 got %d requests, %.0f are allowed", exposed, allowed)
	}
	if late > 0 {
		f.note("EXPOSURE: v2 got %d requests that were sent later than %s after its 50th bad answer", late, rollbackBound)
	}
	return float64(exposed) > allowed || late > 0
}

// nth returns the n-th smallest time, 0 if there are fewer.
func nth(times []time.Duration, n int) time.Duration {
	if len(times) < n {
		return 0
	}
	for i := range n {
		for j := i + 1; j < len(times); j++ {
			if times[j] < times[i] {
				times[i], times[j] = times[j], times[i]
			}
		}
	}
	return times[n-1]
}
