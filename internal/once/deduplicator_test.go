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

// epoch is the start time of the tests.
var epoch = time.UnixMilli(1_800_000_000_000)

// keyAt returns a key with a timestamp; n distinguishes keys with the same timestamp.
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

// singleHostChain grants an hour to host a.
func singleHostChain() once.Grants {
	return once.Grants{grant(epoch, epoch.Add(time.Hour), "a")}
}

// newDeduplicator returns the deduplicator of host a, which started at epoch.
func newDeduplicator(now *time.Time, change func(*once.Options)) *once.Deduplicator {
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

func TestResponseIsReplayed(t *testing.T) {
	now := epoch.Add(time.Minute)
	deduplicator := newDeduplicator(&now, nil)
	claim, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	assert.NilError(t, err)
	_, replayed := claim.Replay()
	assert.Assert(t, !replayed)

	_, err = deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	refusal := assertRefused(t, err, once.InProgress)
	assert.Assert(t, refusal.EarlierMayHaveRun)

	claim.Complete(&once.Response{Status: 201, Body: []byte("done")})
	<-refusal.Done
	again, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	assert.NilError(t, err)
	response, replayed := again.Replay()
	assert.Assert(t, replayed)
	assert.Equal(t, string(response.Body), "done")
	again.Complete(nil)
	again.Release()
}

func TestReleasedKeyMayRunAgain(t *testing.T) {
	now := epoch.Add(time.Minute)
	deduplicator := newDeduplicator(&now, nil)
	claim, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	assert.NilError(t, err)
	claim.Release()
	claim.Complete(&once.Response{})
	again, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	assert.NilError(t, err)
	_, replayed := again.Replay()
	assert.Assert(t, !replayed)
}

func TestRunWithoutResponseIsNotRepeated(t *testing.T) {
	now := epoch.Add(time.Minute)
	deduplicator := newDeduplicator(&now, nil)
	claim, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	assert.NilError(t, err)
	claim.Complete(nil)
	claim.Release()
	_, err = deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	assertRefused(t, err, once.AlreadyRan)
}

func TestKeysThatMayBeForgottenAreRefused(t *testing.T) {
	now := epoch.Add(10 * time.Minute)
	deduplicator := newDeduplicator(&now, func(o *once.Options) { o.Started = now.Add(-time.Second) })
	_, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	assertRefused(t, err, once.BeforeStart)
	_, err = deduplicator.Claim(singleHostChain(), service, keyAt(now.Add(once.MaxFutureSkew+time.Millisecond), 1))
	assertRefused(t, err, once.FutureKey)
	_, err = deduplicator.Claim(singleHostChain(), service, keyAt(epoch.Add(-time.Hour), 1))
	assertRefused(t, err, once.NoHome)
	_, err = deduplicator.Claim(singleHostChain(), service, "work order 7")
	assert.Assert(t, !assertRefused(t, err, once.InvalidKey).EarlierMayHaveRun)
	_, err = deduplicator.Claim(singleHostChain(), service, uuid.NewString())
	assertRefused(t, err, once.InvalidKey)
	now = now.Add(time.Minute)
	_, err = deduplicator.Claim(singleHostChain(), service, keyAt(now, 1))
	assert.NilError(t, err)

	early := newDeduplicator(&now, nil)
	_, err = early.Claim(singleHostChain(), service, keyAt(now.Add(-once.KeyTTL-time.Millisecond), 1))
	assertRefused(t, err, once.ExpiredKey)
	other := newDeduplicator(&now, func(o *once.Options) { o.Host = "b" })
	_, err = other.Claim(singleHostChain(), service, keyAt(now, 1))
	assertRefused(t, err, once.NotHome)
}

func TestExpiredKeyStaysRefusedWhenTheClockStepsBack(t *testing.T) {
	now := epoch.Add(time.Minute)
	deduplicator := newDeduplicator(&now, nil)
	key := keyAt(now, 1)
	claim, err := deduplicator.Claim(singleHostChain(), service, key)
	assert.NilError(t, err)
	claim.Complete(&once.Response{Status: 200})
	now = now.Add(once.KeyTTL + time.Second)
	_, err = deduplicator.Claim(singleHostChain(), service, key)
	assertRefused(t, err, once.ExpiredKey)
	now = now.Add(-once.KeyTTL)
	_, err = deduplicator.Claim(singleHostChain(), service, key)
	assertRefused(t, err, once.ExpiredKey)
}

func TestKeyStoreIsBounded(t *testing.T) {
	now := epoch.Add(time.Minute)
	const keys, bytes = 10, 64
	deduplicator := newDeduplicator(&now, func(o *once.Options) { o.MaxKeys, o.MaxResponseBytes = keys, bytes })
	first := now
	for i := range uint64(3 * keys) {
		now = now.Add(time.Millisecond)
		claim, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, i))
		assert.NilError(t, err)
		claim.Complete(&once.Response{Body: make([]byte, bytes/2)})
	}
	_, err := deduplicator.Claim(singleHostChain(), service, keyAt(first.Add(time.Millisecond), 0))
	assertRefused(t, err, once.ExpiredKey)
	_, err = deduplicator.Claim(singleHostChain(), service, keyAt(now.Add(-3*time.Millisecond), 3*keys-4))
	assertRefused(t, err, once.AlreadyRan)
	claim, err := deduplicator.Claim(singleHostChain(), service, keyAt(now, 3*keys-1))
	assert.NilError(t, err)
	_, replayed := claim.Replay()
	assert.Assert(t, replayed)
}

func TestNewKeyHasAcceptedHome(t *testing.T) {
	now := epoch.Add(time.Minute)
	deduplicator := newDeduplicator(&now, nil)
	chain := once.Grants{grant(epoch, epoch.Add(time.Hour), "a", "b", "c", "d")}
	for range 100 {
		key, err := deduplicator.NewKey(chain, service, func(host string) bool { return host == "c" })
		assert.NilError(t, err)
		home, err := deduplicator.Home(chain, service, key)
		assert.NilError(t, err)
		assert.Equal(t, home, "c")
		parsed, err := once.ParseKey(key)
		assert.NilError(t, err)
		assert.Equal(t, parsed.Millis(), now.UnixMilli())
	}
	_, err := deduplicator.NewKey(chain, service, func(string) bool { return false })
	assert.NilError(t, err)
	_, err = deduplicator.NewKey(chain, "huts/registry", func(string) bool { return true })
	assertRefused(t, err, once.NoHome)
}
