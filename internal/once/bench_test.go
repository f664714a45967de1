package once_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
)

// The size of the deployment expected in two years.
const (
	benchServices      = 160
	benchHosts         = 1900
	benchResponseBytes = 512
	benchKeysPerSecond = 116
)

// benchView returns a view in which every host is ready for one service.
func benchView() *membership.View {
	view := &membership.View{}
	for i := range benchHosts {
		name := fmt.Sprintf("workspace-%02d/service-%03d", i%benchServices/4, i%benchServices)
		view.ByService = view.ByService.With(name, append(view.ByService.At(name), membership.Member{
			Host: fmt.Sprintf("host-%04d.zone-%d", i, i%10), State: membership.Alive, TargetState: membership.Ready,
		}))
	}
	return view
}

func benchChain() once.Grants {
	chain, _ := once.Grants(nil).Add(once.NextGrant(nil, benchView(), epoch, once.DefaultHorizon), epoch)
	return chain
}

func BenchmarkHome(b *testing.B) {
	chain := benchChain()
	deduplicator := once.NewDeduplicator(once.Options{Host: "a", Started: epoch, Now: func() time.Time { return epoch }})
	key := keyAt(epoch, 1)
	service := chain[0].GetServices()[benchServices/2].GetService()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := deduplicator.Home(chain, service, key); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClaim claims and completes new keys whose timestamps advance at the rate
// of one daemon, so that the store holds all keys within their TTL.
func BenchmarkClaim(b *testing.B) {
	now := epoch.Add(time.Minute)
	deduplicator := newDeduplicator(&now, nil)
	chain := once.Grants{grant(epoch, epoch.Add(1<<20*time.Hour), "a")}
	response := &once.Response{Status: 200, Body: make([]byte, benchResponseBytes)}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(time.Second / benchKeysPerSecond)
		claim, err := deduplicator.Claim(chain, service, keyAt(now, i))
		if err != nil {
			b.Fatal(err)
		}
		claim.Complete(response)
	}
}

func BenchmarkRelease(b *testing.B) {
	now := epoch.Add(time.Minute)
	deduplicator := newDeduplicator(&now, nil)
	for i := range uint64(benchKeysPerSecond * 300) {
		claim, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, i))
		if err != nil {
			b.Fatal(err)
		}
		claim.Complete(nil)
	}
	key := keyAt(now, 1<<40)
	b.ReportAllocs()
	for b.Loop() {
		claim, err := deduplicator.Claim(singleHostChain(), service, key)
		if err != nil {
			b.Fatal(err)
		}
		claim.Release()
	}
}

// BenchmarkNextGrant also reports the size of a full grant and of a delta in which
// one host of 1,900 is gone.
func BenchmarkNextGrant(b *testing.B) {
	chain, view := benchChain(), benchView()
	later := epoch.Add(once.DefaultHorizon / 3)
	first := chain[0].GetServices()[0].GetService()
	view.ByService = view.ByService.With(first, view.ByService.At(first)[1:])
	b.ReportAllocs()
	for b.Loop() {
		once.NextGrant(chain, view, later, once.DefaultHorizon)
	}
	b.ReportMetric(float64(proto.Size(chain[0])), "full-bytes")
	b.ReportMetric(float64(proto.Size(once.NextGrant(chain, view, later, once.DefaultHorizon))), "change-bytes")
}
