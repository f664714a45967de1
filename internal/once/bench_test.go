package once_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
)

// Sizes of the fleet in two years.
const (
	benchServices       = 160
	benchHosts          = 1900
	benchAnswerBytes    = 512
	benchKeysEachSecond = 116
)

// benchView has every host ready for its service.
func benchView() *membership.View {
	view := &membership.View{ByService: map[string][]membership.Member{}}
	for i := range benchHosts {
		name := fmt.Sprintf("workspace-%02d/service-%03d", i%benchServices/4, i%benchServices)
		view.ByService[name] = append(view.ByService[name], membership.Member{
			Host: fmt.Sprintf("host-%04d.zone-%d", i, i%10), State: membership.Alive, TargetState: membership.Ready,
		})
	}
	return view
}

func benchChain() once.Grants {
	chain, _ := once.Grants(nil).Add(once.NextGrant(nil, benchView(), epoch, once.DefaultReach), epoch)
	return chain
}

func BenchmarkHome(b *testing.B) {
	chain := benchChain()
	keeper := once.NewDeduplicator(once.Options{Host: "a", Started: epoch, Now: func() time.Time { return epoch }})
	key := keyAt(epoch, 1)
	service := chain[0].GetServices()[benchServices/2].GetService()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := keeper.Home(chain, service, key); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRun runs fresh keys at the rate of one daemon in key time, with
// the memory full of the keys of its window.
func BenchmarkRun(b *testing.B) {
	now := epoch.Add(time.Minute)
	keeper := keeperOf(&now, nil)
	chain := once.Grants{grant(epoch, epoch.Add(1<<20*time.Hour), "a")}
	answer := &once.Response{Status: 200, Body: make([]byte, benchAnswerBytes)}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(time.Second / benchKeysEachSecond)
		run, err := keeper.Claim(chain, service, keyAt(now, i))
		if err != nil {
			b.Fatal(err)
		}
		run.Complete(answer)
	}
}

func BenchmarkAbandon(b *testing.B) {
	now := epoch.Add(time.Minute)
	keeper := keeperOf(&now, nil)
	for i := range uint64(benchKeysEachSecond * 300) {
		run, err := keeper.Claim(oneHost(), service, keyAt(now, i))
		if err != nil {
			b.Fatal(err)
		}
		run.Complete(nil)
	}
	key := keyAt(now, 1<<40)
	b.ReportAllocs()
	for b.Loop() {
		run, err := keeper.Claim(oneHost(), service, key)
		if err != nil {
			b.Fatal(err)
		}
		run.Release()
	}
}

// BenchmarkNextGrant also reports the size of a full grant and of one in
// which one host of 1,900 has gone.
func BenchmarkNextGrant(b *testing.B) {
	chain, view := benchChain(), benchView()
	later := epoch.Add(once.DefaultReach / 3)
	first := chain[0].GetServices()[0].GetService()
	view.ByService[first] = view.ByService[first][1:]
	b.ReportAllocs()
	for b.Loop() {
		once.NextGrant(chain, view, later, once.DefaultReach)
	}
	b.ReportMetric(float64(proto.Size(chain[0])), "full-bytes")
	b.ReportMetric(float64(proto.Size(once.NextGrant(chain, view, later, once.DefaultReach))), "change-bytes")
}
