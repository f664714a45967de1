package once_test

import (
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/once"
)

const service = "huts/ledger"

// epoch is when the tests begin.
var epoch = time.UnixMilli(1_800_000_000_000)

// keyAt is a key of a time; n tells keys of one time apart.
func keyAt(at time.Time, n uint64) string {
	id := uuid.UUID{}
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = 0x70
	id[8] = 0x80
	return id.String()
}

func grant(from, until time.Time, hosts ...string) *once.Grant {
	homes := &once.ServiceHomes{Service: service, Hosts: hosts}
	return &once.Grant{FromMs: from.UnixMilli(), UntilMs: until.UnixMilli(), Services: []*once.ServiceHomes{homes}}
}

// oneHost grants an hour to host a.
func oneHost() once.Grants {
	return once.Grants{grant(epoch, epoch.Add(time.Hour), "a")}
}

// keeperOf returns a keeper of a host that started long before now.
func keeperOf(now *time.Time, change func(*once.Options)) *once.Deduplicator {
	options := once.Options{Host: "a", Started: epoch, Now: func() time.Time { return *now }}
	if change != nil {
		change(&options)
	}
	return once.NewDeduplicator(options)
}

func assertRefused(t *testing.T, err error, reason once.Reason) *once.Refusal {
	t.Helper()
	var refusal *once.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Reason, reason)
	return refusal
}

func TestAnswerIsReplayed(t *testing.T) {
	now := epoch.Add(time.Minute)
	keeper := keeperOf(&now, nil)
	run, err := keeper.Claim(oneHost(), service, keyAt(now, 1))
	assert.NilError(t, err)
	_, replayed := run.Replay()
	assert.Assert(t, !replayed)

	_, err = keeper.Claim(oneHost(), service, keyAt(now, 1))
	refusal := assertRefused(t, err, once.InProgress)
	assert.Assert(t, refusal.EarlierMayHaveRun)

	run.Complete(&once.Response{Status: 201, Body: []byte("done")})
	<-refusal.Done
	again, err := keeper.Claim(oneHost(), service, keyAt(now, 1))
	assert.NilError(t, err)
	answer, replayed := again.Replay()
	assert.Assert(t, replayed)
	assert.Equal(t, string(answer.Body), "done")
	again.Complete(nil)
	again.Release()
}

func TestAbandonedKeyMayRunAgain(t *testing.T) {
	now := epoch.Add(time.Minute)
	keeper := keeperOf(&now, nil)
	run, err := keeper.Claim(oneHost(), service, keyAt(now, 1))
	assert.NilError(t, err)
	run.Release()
	run.Complete(&once.Response{})
	again, err := keeper.Claim(oneHost(), service, keyAt(now, 1))
	assert.NilError(t, err)
	_, replayed := again.Replay()
	assert.Assert(t, !replayed)
}

func TestRunWithoutAnswerIsNotRepeated(t *testing.T) {
	now := epoch.Add(time.Minute)
	keeper := keeperOf(&now, nil)
	run, err := keeper.Claim(oneHost(), service, keyAt(now, 1))
	assert.NilError(t, err)
	run.Complete(nil)
	run.Release()
	_, err = keeper.Claim(oneHost(), service, keyAt(now, 1))
	assertRefused(t, err, once.AlreadyRan)
}

func TestKeysThatMayBeForgottenAreRefused(t *testing.T) {
	now := epoch.Add(10 * time.Minute)
	keeper := keeperOf(&now, func(o *once.Options) { o.Started = now.Add(-time.Second) })
	_, err := keeper.Claim(oneHost(), service, keyAt(now, 1))
	assertRefused(t, err, once.BeforeStart)
	_, err = keeper.Claim(oneHost(), service, keyAt(now.Add(once.MaxAhead+time.Millisecond), 1))
	assertRefused(t, err, once.FutureKey)
	_, err = keeper.Claim(oneHost(), service, keyAt(epoch.Add(-time.Hour), 1))
	assertRefused(t, err, once.NoHome)
	_, err = keeper.Claim(oneHost(), service, "work order 7")
	assert.Assert(t, !assertRefused(t, err, once.InvalidKey).EarlierMayHaveRun)
	_, err = keeper.Claim(oneHost(), service, uuid.NewString())
	assertRefused(t, err, once.InvalidKey)
	now = now.Add(time.Minute)
	_, err = keeper.Claim(oneHost(), service, keyAt(now, 1))
	assert.NilError(t, err)

	early := keeperOf(&now, nil)
	_, err = early.Claim(oneHost(), service, keyAt(now.Add(-once.KeyWindow-time.Millisecond), 1))
	assertRefused(t, err, once.ExpiredKey)
	other := keeperOf(&now, func(o *once.Options) { o.Host = "b" })
	_, err = other.Claim(oneHost(), service, keyAt(now, 1))
	assertRefused(t, err, once.NotHome)
}

func TestExpiredKeyStaysRefusedWhenTheClockStepsBack(t *testing.T) {
	now := epoch.Add(time.Minute)
	keeper := keeperOf(&now, nil)
	key := keyAt(now, 1)
	run, err := keeper.Claim(oneHost(), service, key)
	assert.NilError(t, err)
	run.Complete(&once.Response{Status: 200})
	now = now.Add(once.KeyWindow + time.Second)
	_, err = keeper.Claim(oneHost(), service, key)
	assertRefused(t, err, once.ExpiredKey)
	now = now.Add(-once.KeyWindow)
	_, err = keeper.Claim(oneHost(), service, key)
	assertRefused(t, err, once.ExpiredKey)
}

func TestMemoryIsBounded(t *testing.T) {
	now := epoch.Add(time.Minute)
	const keys, bytes = 10, 64
	keeper := keeperOf(&now, func(o *once.Options) { o.MaxKeys, o.MaxResponseBytes = keys, bytes })
	first := now
	for i := range uint64(3 * keys) {
		now = now.Add(time.Millisecond)
		run, err := keeper.Claim(oneHost(), service, keyAt(now, i))
		assert.NilError(t, err)
		run.Complete(&once.Response{Body: make([]byte, bytes/2)})
	}
	_, err := keeper.Claim(oneHost(), service, keyAt(first.Add(time.Millisecond), 0))
	assertRefused(t, err, once.ExpiredKey)
	_, err = keeper.Claim(oneHost(), service, keyAt(now.Add(-3*time.Millisecond), 3*keys-4))
	assertRefused(t, err, once.AlreadyRan)
	run, err := keeper.Claim(oneHost(), service, keyAt(now, 3*keys-1))
	assert.NilError(t, err)
	_, replayed := run.Replay()
	assert.Assert(t, replayed)
}

func TestMintedKeyHasAnAcceptedHome(t *testing.T) {
	now := epoch.Add(time.Minute)
	keeper := keeperOf(&now, nil)
	chain := once.Grants{grant(epoch, epoch.Add(time.Hour), "a", "b", "c", "d")}
	for range 100 {
		key, err := keeper.Mint(chain, service, func(host string) bool { return host == "c" })
		assert.NilError(t, err)
		home, err := keeper.Home(chain, service, key)
		assert.NilError(t, err)
		assert.Equal(t, home, "c")
		parsed, err := once.ParseKey(key)
		assert.NilError(t, err)
		assert.Equal(t, parsed.Millis(), now.UnixMilli())
	}
	_, err := keeper.Mint(chain, service, func(string) bool { return false })
	assert.NilError(t, err)
	_, err = keeper.Mint(chain, "huts/registry", func(string) bool { return true })
	assertRefused(t, err, once.NoHome)
}
