package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// loneDirectory is the view of a daemon that knows only itself.
type loneDirectory struct{ view *membership.View }

func newLoneDirectory() loneDirectory {
	self := membership.Member{Host: "accra-1", State: membership.Alive}
	return loneDirectory{&membership.View{Self: self, Members: membership.NewMap(map[string]membership.Member{self.Host: self})}}
}

func (d loneDirectory) View() *membership.View   { return d.view }
func (d loneDirectory) Changed() <-chan struct{} { return nil }

func newLoneQuota() *Quota {
	return New(Options{
		Self:      peer.Identity{Host: "accra-1"},
		Directory: newLoneDirectory(),
		Limit:     func(string) (Limit, bool) { return Limit{}, false },
		Bound:     simBound,
	})
}

func clients(count int) []*publish.ClientWorkspace {
	all := make([]*publish.ClientWorkspace, count)
	for i := range all {
		all[i] = &publish.ClientWorkspace{Name: fmt.Sprintf("workspace%d", i), Rate: 1e6, Burst: 1e6}
	}
	return all
}

// BenchmarkAdmit measures a request of a free workspace, spread over all workspaces.
func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{80, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			q := newLoneQuota()
			all := clients(count)
			q.Admit(all[0])
			q.limiter.Connected("accra-1", time.Now())
			for _, c := range all {
				q.Admit(c)
				q.limiter.Answered("accra-1", 1, []Grant{{Workspace: c.Name}}, time.Now())
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, _, ok := q.Admit(all[i%count]); !ok {
					b.Fatal("refused")
				}
			}
		})
	}
}

// BenchmarkReport measures what a home spends on a report of one workspace, with encoding
// but without the network, and the size of the messages.
func BenchmarkReport(b *testing.B) {
	for _, hosts := range []int{75, 1900} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			ledger := NewLedger(simBound, nil)
			ledger.SetHosts(hosts, hosts)
			now := time.Unix(1000, 0)
			limit := Limit{Rate: 310, Burst: 310}
			names := make([]string, hosts)
			for i := range names {
				names[i] = fmt.Sprintf("greater-accra-a-%d", i)
			}
			var sent, received int
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Second / 200)
				request, _ := proto.Marshal(reportToWire([]Usage{{Workspace: "huka270", Admitted: 1, Demand: 2.5, Samples: 1}}))
				var message ReportRequest
				if err := proto.Unmarshal(request, &message); err != nil {
					b.Fatal(err)
				}
				usage := reportFromWire(&message)[0]
				grant, _ := ledger.Report(names[i%hosts], usage, limit, now)
				reply, _ := proto.Marshal(answerToWire(answer{acknowledged: uint64(i), grants: []Grant{grant}}))
				sent, received = len(reply), len(request)
			}
			b.ReportMetric(float64(received), "report-bytes")
			b.ReportMetric(float64(sent), "answer-bytes")
		})
	}
}

// BenchmarkOrdinaryTraffic simulates the second part of a minute at the ordinary demand
// of 80 workspaces, at 0.6 of a rate of 310, and counts the messages and bytes of one
// daemon and one home, without the headers of the network.
func BenchmarkOrdinaryTraffic(b *testing.B) {
	for _, c := range []struct{ hosts, workspaces int }{{75, 80}, {1900, 10000}} {
		b.Run(fmt.Sprint(c.hosts), func(b *testing.B) {
			const span = 30 * time.Second
			perHost := 0.6 * 310 / float64(c.hosts)
			homes := homeCount(c.hosts)
			limit := Limit{Rate: 310, Burst: 310}
			if c.workspaces > 1000 {
				// 220,000 requests a second of 10,000 workspaces.
				limit = Limit{Rate: 36, Burst: 36}
				perHost = 22 / float64(c.hosts)
			}
			for range b.N {
				random := rand.New(rand.NewPCG(1, 1))
				now := time.Unix(1000, 0)
				homeOf := func(name string) string { return fmt.Sprint(xxhash.Sum64String(name) % uint64(homes)) }
				l := NewLimiter(homeOf, random, now)
				l.SetHosts(c.hosts, now)
				messages, bytes := 0, 0
				names := make([]string, c.workspaces)
				for i := range names {
					names[i] = fmt.Sprintf("workspace%d", i)
				}
				for h := range homes {
					l.Connected(fmt.Sprint(h), now)
					l.Answered(fmt.Sprint(h), 0, nil, now)
				}
				for end := now.Add(2 * span); now.Before(end); now = now.Add(simStep) {
					if now.Equal(time.Unix(1000, 0).Add(span)) {
						messages, bytes = 0, 0
					}
					for range poisson(random, perHost*float64(c.workspaces)*simStep.Seconds()) {
						l.Admit(names[random.IntN(len(names))], limit, now)
					}
					for h := range homes {
						host := fmt.Sprint(h)
						due, ok := l.Due(host)
						if !ok || due.After(now) {
							continue
						}
						usages := l.Collect(host, now)
						if len(usages) == 0 {
							continue
						}
						messages++
						bytes += proto.Size(reportToWire(usages))
						grants := make([]Grant, len(usages))
						for i, u := range usages {
							grants[i] = Grant{Workspace: u.Workspace}
						}
						bytes += proto.Size(answerToWire(answer{acknowledged: 1, grants: grants}))
						l.Answered(host, l.homes[host].answered+1, grants, now)
					}
				}
				b.ReportMetric(float64(messages)/span.Seconds(), "reports/s")
				b.ReportMetric(float64(bytes)/span.Seconds(), "bytes/s")
				b.ReportMetric(float64(messages)/span.Seconds()*float64(c.hosts)/float64(homes), "home-reports/s")
			}
		})
	}
}
