package membership

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// restartCase is a way in which a departure is acknowledged and its daemon restarted.
type restartCase struct {
	name string
	// atDeparture, beforeRestart and afterRestart change the faults at those times.
	// Departing, the daemon has the time settle.
	atDeparture, beforeRestart, afterRestart func(m *mesh, log *hostLog)
	// killAll kills the other daemons too.
	killAll bool
	// unacknowledged says that the departure is not acknowledged, since the log does not
	// hold it.
	unacknowledged bool
	// beforeNext changes the faults before a later instance announces itself.
	beforeNext func(m *mesh, log *hostLog)
}

const departingHost = "a-0"

func startDeparting(m *mesh, log *hostLog, incarnation uint64) *daemon {
	return m.startWith(Options{Identity: peer.Identity{Host: departingHost, Zone: "a", Region: "r", Incarnation: incarnation}, HostLog: log})
}

func startOthers(m *mesh, log *hostLog, incarnation uint64) {
	for _, host := range []string{"a-1", "a-2", "b-0", "b-1"} {
		m.startWith(Options{Identity: peer.Identity{Host: host, Zone: host[:1], Region: "r", Incarnation: incarnation}, HostLog: log})
	}
}

func cutOffDeparting(m *mesh, _ *hostLog) {
	m.net.setPartition(func(from, to peer.Identity) bool {
		return (from.Host == departingHost) != (to.Host == departingHost)
	})
}

// readyHeartbeat is an announcement of the target from before its departure.
func readyHeartbeat(sequence uint64) Announcement {
	return Announcement{Service: "w/s", Address: "127.0.0.1:1", Slots: 4, State: "ready", Instance: "i-1", StartedUnixMs: 1000, Sequence: sequence}
}

// TestRestartRemembersAcknowledgedDeparture acknowledges a departure while the log or
// the peers fail, restarts the daemon and delivers an announcement from before it late.
// Guards against: a restarted daemon reopened a target whose departure it had
// acknowledged (review case 2, DRAIN).
func TestRestartRemembersAcknowledgedDeparture(t *testing.T) {
	logOut := func(_ *mesh, log *hostLog) { log.setFaults(true, false) }
	logBack := func(_ *mesh, log *hostLog) { log.setFaults(false, false) }
	losesAnswers := func(_ *mesh, log *hostLog) { log.setFaults(false, true) }
	logBackForLong := func(m *mesh, log *hostLog) {
		logBack(m, log)
		time.Sleep(2 * maxHistoryRetryInterval)
	}
	for _, c := range []restartCase{
		{name: "log and peers answer"},
		{name: "all processes are killed", killAll: true},
		{name: "peers are cut off", atDeparture: cutOffDeparting},
		{name: "peers are cut off until later", atDeparture: cutOffDeparting, afterRestart: func(m *mesh, _ *hostLog) { m.net.heal() }},
		{name: "log is out throughout", atDeparture: logOut, unacknowledged: true},
		{name: "log is out until the restart", atDeparture: logOut, beforeRestart: logBack, unacknowledged: true},
		{name: "log is out from the restart on", beforeRestart: logOut},
		{name: "log is out from the restart of all processes on", beforeRestart: logOut, killAll: true, beforeNext: logBackForLong},
		{name: "log is out and peers are cut off from the restart on", beforeRestart: logOut, afterRestart: cutOffDeparting, beforeNext: logBackForLong},
		{name: "peers are cut off at the departure, log is out from the restart on", atDeparture: cutOffDeparting, beforeRestart: logOut, beforeNext: logBackForLong},
		{name: "log loses answers", atDeparture: losesAnswers},
		{name: "log loses answers and all processes are killed", atDeparture: losesAnswers, beforeRestart: logBack, killAll: true},
	} {
		for _, settle := range []time.Duration{0, 300 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("%s, killed after %s", c.name, settle), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playRestart(t, c, settle) })
			})
		}
	}
}

func playRestart(t *testing.T, c restartCase, settle time.Duration) {
	m := newMesh(t)
	defer m.killAll()
	log := &hostLog{delay: 4 * time.Millisecond}
	apply := func(change func(*mesh, *hostLog)) {
		if change != nil {
			change(m, log)
		}
	}
	d := startDeparting(m, log, 1)
	startOthers(m, log, 1)
	m.waitUntil(10*time.Second, "complete", knowsAll(5))
	assert.NilError(t, d.Announce(readyHeartbeat(1)))
	m.waitUntil(5*time.Second, "ready", seesTarget(departingHost, Ready))

	apply(c.atDeparture)
	assert.NilError(t, d.WithdrawInstance("i-1", 1000))
	assert.Equal(t, d.View().Self.TargetState, Draining, "the departure is in force at once")
	asked := time.Now()
	if err := d.AwaitHistoryHeld(t.Context()); c.unacknowledged {
		assert.ErrorIs(t, err, ErrHistoryNotHeld)
	} else {
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(asked) < time.Second, "the target takes an answer after a second for none")
	time.Sleep(settle)
	m.kill(departingHost)
	if c.killAll {
		for _, host := range []string{"a-1", "a-2", "b-0", "b-1"} {
			m.kill(host)
		}
	}
	apply(c.beforeRestart)
	time.Sleep(500 * time.Millisecond)
	restarted := startDeparting(m, log, 2)
	if c.killAll {
		startOthers(m, log, 2)
	}
	apply(c.afterRestart)
	for range 200 {
		err := restarted.Announce(readyHeartbeat(2))
		assert.Assert(t, err == nil || strings.Contains(err.Error(), "out of date"), "%v", err)
		time.Sleep(50 * time.Millisecond)
		state := restarted.View().Self.TargetState
		assert.Assert(t, state != Ready && state != Cold, "the departed instance takes work %s after the restart", time.Since(restarted.startedAt))
	}
	// A later instance is served as soon as the daemon knows what was acknowledged.
	apply(c.beforeNext)
	next := readyHeartbeat(1)
	next.Instance, next.StartedUnixMs = "i-2", 2000
	assert.NilError(t, restarted.Announce(next))
	synctest.Wait()
	assert.Equal(t, restarted.View().Self.TargetState, Ready)
}

// TestDepartureOutsideLogIsNotAcknowledged has a target leave while the log is out, with and
// without peers in reach. Guards against: an acknowledged departure that is lost with all
// processes, since only their memory held it (review case 10, DRAIN).
func TestDepartureOutsideLogIsNotAcknowledged(t *testing.T) {
	for name, fault := range map[string]func(*mesh, *hostLog){
		"peers in reach": func(*mesh, *hostLog) {}, "peers cut off": cutOffDeparting,
	} {
		t.Run(name, func(t *testing.T) { playDepartureOutsideLog(t, fault) })
	}
}

func playDepartureOutsideLog(t *testing.T, fault func(*mesh, *hostLog)) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{delay: 4 * time.Millisecond}
		d := startDeparting(m, log, 1)
		startOthers(m, log, 1)
		m.waitUntil(10*time.Second, "complete", knowsAll(5))
		assert.NilError(t, d.Announce(readyHeartbeat(1)))
		fault(m, log)
		log.setFaults(true, false)
		leaving := readyHeartbeat(2)
		leaving.State = "draining"
		assert.NilError(t, d.Announce(leaving))
		assert.Equal(t, d.View().Self.TargetState, Draining, "the departure is in force at once")
		assert.ErrorIs(t, d.AwaitHistoryHeld(t.Context()), ErrHistoryNotHeld)
		log.setFaults(false, false)
		time.Sleep(2 * maxHistoryRetryInterval)
		assert.NilError(t, d.AwaitHistoryHeld(t.Context()))
		assert.Equal(t, len(log.records[platform.TargetHistoryStream]), 1)
	})
}

// TestTargetWaitsForItsHistory starts a daemon that reaches neither the log nor a peer.
// Guards against: a heartbeat that reopens a target before the daemon knows what its
// predecessor acknowledged.
func TestTargetWaitsForItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{delay: 4 * time.Millisecond, rejects: true}
		d := startDeparting(m, log, 1)
		time.Sleep(time.Minute)
		assert.NilError(t, d.Announce(readyHeartbeat(1)))
		assert.Equal(t, d.View().Self.TargetState, NoTarget)
		log.setFaults(false, false)
		time.Sleep(2 * maxHistoryRetryInterval)
		assert.NilError(t, d.Announce(readyHeartbeat(2)))
		assert.Equal(t, d.View().Self.TargetState, Ready)
	})
}

// TestDepartureBeforeFirstAnnouncementOfStart has a target that crashed and started again
// under its name leave before it announces itself, and restarts the daemon after that.
// Guards against: the departure was acknowledged, and the lease of the earlier start went on
// (review case 7, DRAIN).
func TestDepartureBeforeFirstAnnouncementOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{delay: 4 * time.Millisecond}
		d := startDeparting(m, log, 1)
		startOthers(m, log, 1)
		m.waitUntil(10*time.Second, "complete", knowsAll(5))
		assert.NilError(t, d.Announce(readyHeartbeat(5)))
		assert.NilError(t, d.WithdrawInstance("i-1", 2000))
		assert.Equal(t, d.View().Self.TargetState, Draining)
		assert.NilError(t, d.AwaitHistoryHeld(t.Context()))
		late := func(started int64, sequence uint64) {
			a := readyHeartbeat(sequence)
			a.StartedUnixMs = started
			_ = d.Announce(a)
			synctest.Wait()
			state := d.View().Self.TargetState
			assert.Assert(t, state != Ready && state != Cold, "a departed start takes work")
		}
		late(1000, 6)
		late(2000, 1)
		m.kill(departingHost)
		time.Sleep(500 * time.Millisecond)
		d = startDeparting(m, log, 2)
		time.Sleep(5 * time.Second)
		late(1000, 7)
		late(2000, 2)
		next := readyHeartbeat(1)
		next.StartedUnixMs = 3000
		assert.NilError(t, d.Announce(next))
		synctest.Wait()
		assert.Equal(t, d.View().Self.TargetState, Ready)
	})
}

// refusingLog is the log as one host sees it that the log does not serve: it refuses each
// call or gives no response.
type refusingLog struct {
	*hostLog
	silent bool
}

func (l refusingLog) Put(ctx context.Context, _, _ string, _ []byte) error {
	if l.silent {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", platform.ErrUnknown, ctx.Err())
	}
	return fmt.Errorf("%w: %w", platform.ErrRefused, errLogFault)
}

// TestDepartureIsStoredThroughAnotherDaemon has a target leave on a host that the log does not
// serve. Guards against: a departure that is never acknowledged though the log serves all
// other hosts.
func TestDepartureIsStoredThroughAnotherDaemon(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent %v", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t)
				defer m.killAll()
				log := &hostLog{delay: 4 * time.Millisecond}
				startOthers(m, log, 1)
				id := peer.Identity{Host: departingHost, Zone: "a", Region: "r", Incarnation: 1}
				d := m.startWith(Options{Identity: id, HostLog: refusingLog{hostLog: log, silent: silent}})
				m.waitUntil(20*time.Second, "complete", knowsAll(5))
				assert.NilError(t, d.Announce(readyHeartbeat(1)))
				assert.NilError(t, d.WithdrawInstance("i-1", 1000))
				assert.NilError(t, d.AwaitHistoryHeld(t.Context()))
				assert.Equal(t, len(log.records[platform.TargetHistoryStream]), 1)
			})
		})
	}
}

// A daemon writes records to the log only for the host that asks.
func TestRecordOfAnotherHostIsNotStored(t *testing.T) {
	log := &hostLog{}
	s := &server{membership: New(Options{Self: Member{Host: "h"}, Identity: peer.Identity{Host: "h"}, HostLog: log})}
	ctx := peer.WithIdentity(t.Context(), peer.Identity{Host: "a"})
	for _, request := range []*StoreRecordRequest{
		{Key: "b/1", Payload: []byte{1}}, {Key: "a", Payload: []byte{1}}, {Key: "a/1"}, {Key: "a/1", Payload: make([]byte, maxRelayedRecordBytes+1)},
	} {
		_, err := s.StoreRecord(ctx, request)
		assert.ErrorIs(t, err, errRelayRefused)
	}
	assert.Equal(t, len(log.records), 0)
	_, err := s.StoreRecord(ctx, &StoreRecordRequest{Key: "a/1", Payload: []byte{1}})
	assert.NilError(t, err)
	assert.Equal(t, len(log.records[platform.TargetHistoryStream]), 1)
}

// TestPeersThatRestartedAreNoWitnesses kills all daemons after an acknowledged departure. The
// others find each other again before the log is out, and then the daemon starts again.
// Guards against: the word of peers that forgot the departure as well opened the gate.
func TestPeersThatRestartedAreNoWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{delay: 4 * time.Millisecond}
		d := startDeparting(m, log, 1)
		startOthers(m, log, 1)
		m.waitUntil(10*time.Second, "complete", knowsAll(5))
		assert.NilError(t, d.Announce(readyHeartbeat(1)))
		assert.NilError(t, d.WithdrawInstance("i-1", 1000))
		assert.NilError(t, d.AwaitHistoryHeld(t.Context()))
		m.killAll()
		startOthers(m, log, 2)
		m.waitUntil(10*time.Second, "the others know each other", knowsAll(4))
		log.setFaults(true, false)
		restarted := startDeparting(m, log, 2)
		m.waitUntil(30*time.Second, "complete again", knowsAll(5))
		for range 200 {
			_ = restarted.Announce(readyHeartbeat(2))
			time.Sleep(50 * time.Millisecond)
			state := restarted.View().Self.TargetState
			assert.Assert(t, state != Ready && state != Cold, "the departed instance takes work")
		}
		log.setFaults(false, false)
		time.Sleep(2 * maxHistoryRetryInterval)
		next := readyHeartbeat(1)
		next.Instance, next.StartedUnixMs = "i-2", 2000
		assert.NilError(t, restarted.Announce(next))
		synctest.Wait()
		assert.Equal(t, restarted.View().Self.TargetState, Ready)
	})
}

// TestLaterInstanceDoesNotWaitForHistory starts a daemon that reaches neither the log nor a
// peer. Guards against: a new host whose target, which no earlier process can have heard of,
// gets no work while the log is out.
func TestLaterInstanceDoesNotWaitForHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{delay: 4 * time.Millisecond, rejects: true}
		d := startDeparting(m, log, 1)
		time.Sleep(time.Second)
		started := readyHeartbeat(1)
		started.StartedUnixMs = time.Now().UnixMilli()
		assert.NilError(t, d.Announce(started))
		assert.Equal(t, d.View().Self.TargetState, Ready)
	})
}

// TestDeparturesExpire checks that departures do not pile up in the log, and that an
// instance that still announces itself stays departed.
func TestDeparturesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{}
		d := startDeparting(m, log, 1)
		time.Sleep(2 * time.Second)
		assert.NilError(t, d.Announce(readyHeartbeat(1)))
		assert.NilError(t, d.WithdrawInstance("i-0", 500))
		assert.NilError(t, d.WithdrawInstance("i-1", 1000))
		held := func() int {
			records, err := log.NewestWithPrefix(t.Context(), platform.TargetHistoryStream, historyKeyPrefix(departingHost))
			assert.NilError(t, err)
			return len(records)
		}
		time.Sleep(time.Second)
		assert.Equal(t, held(), 2)
		for sequence := range uint64(3 * departureRetention / time.Minute) {
			assert.NilError(t, d.Announce(readyHeartbeat(sequence+2)))
			assert.Assert(t, d.View().Self.TargetState != Ready)
			time.Sleep(time.Minute)
		}
		assert.Equal(t, held(), 1, "the instance that still announces itself is remembered")
	})
}

// TestOddDepartureRecordsAreSkipped starts a daemon whose log holds records of another
// writer among the departures.
func TestOddDepartureRecordsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		log := &hostLog{}
		for i, payload := range []string{"{}", "\xff\xff\xff", "\x0a\x02\xff\xfe", "\x10\x01"} {
			assert.NilError(t, log.Put(t.Context(), platform.TargetHistoryStream, fmt.Sprintf("%sodd-%d", historyKeyPrefix(departingHost), i), []byte(payload)))
		}
		d := startDeparting(m, log, 1)
		time.Sleep(2 * time.Second)
		assert.NilError(t, d.Announce(readyHeartbeat(1)))
		assert.Equal(t, d.View().Self.TargetState, Ready)
	})
}

func TestUnstorableInstanceIsRefused(t *testing.T) {
	members := newUnconnected("h")
	for _, name := range []string{"\xff\xfe", strings.Repeat("i", maxInstanceBytes+1)} {
		a := readyHeartbeat(1)
		a.Instance = name
		assert.ErrorIs(t, members.Announce(a), ErrAnnouncementRefused)
		assert.ErrorIs(t, members.WithdrawInstance(name, 1), ErrAnnouncementRefused)
	}
}

// TestAnnounceHandlerRefusesUnheldDeparture checks that the announcement of a departure
// that only this process holds is answered with 503.
func TestAnnounceHandlerRefusesUnheldDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		d := m.startWith(Options{Identity: peer.Identity{Host: "h", Zone: "z", Region: "r", Incarnation: 1}, Seeds: []string{"nobody"}})
		post := func(state string) int {
			w := httptest.NewRecorder()
			body := fmt.Sprintf(`{"service":"w/s","address":"127.0.0.1:1","slots":4,"state":%q,"instance":"i-1","started":1000}`, state)
			d.AnnounceHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, announcePath, strings.NewReader(body)))
			return w.Code
		}
		time.Sleep(isolatedRecoveryTimeout)
		assert.Equal(t, post("ready"), http.StatusNoContent)
		assert.Equal(t, post("draining"), http.StatusServiceUnavailable)
		assert.Equal(t, d.View().Self.TargetState, Draining)
	})
}

// TestRestartRemembersOperatorDrain drains a target as an operator does, restarts its
// daemon and resumes the target, while the log or the peers fail.
// Guards against: a host that an operator had drained took work again after a restart.
func TestRestartRemembersOperatorDrain(t *testing.T) {
	for name, fault := range map[string]func(m *mesh, log *hostLog){
		"no fault":             func(*mesh, *hostLog) {},
		"log is out":           func(_ *mesh, log *hostLog) { log.setFaults(true, false) },
		"peers are cut off":    cutOffDeparting,
		"log loses its answer": func(_ *mesh, log *hostLog) { log.setFaults(false, true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t)
				defer m.killAll()
				log := &hostLog{delay: 4 * time.Millisecond}
				d := startDeparting(m, log, 1)
				startOthers(m, log, 1)
				m.waitUntil(10*time.Second, "complete", knowsAll(5))
				fault(m, log)
				for incarnation, drained := range []bool{true, false, true} {
					if drained {
						d.Drain()
					} else {
						d.Resume()
					}
					if err := d.AwaitHistoryHeld(t.Context()); name == "log is out" {
						assert.ErrorIs(t, err, ErrHistoryNotHeld)
					} else {
						assert.NilError(t, err)
					}
					m.kill(departingHost)
					time.Sleep(500 * time.Millisecond)
					d = startDeparting(m, log, uint64(incarnation+2))
					time.Sleep(5 * time.Second)
					assert.NilError(t, d.Announce(readyHeartbeat(uint64(incarnation+1))))
					synctest.Wait()
					assert.Equal(t, d.View().Self.TargetState == Draining, drained)
				}
			})
		})
	}
}

// TestLateWritesChangeNoHistory merges and reads the records of a history in any order.
func TestLateWritesChangeNoHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(10_000)
		drawn := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) targetRecord {
			if rapid.Bool().Draw(t, "drain") {
				revision := rapid.Uint64Range(1, 4).Draw(t, "revision")
				return targetRecord{drain: operatorDrain{revision: revision, drained: revision%2 == 1}}
			}
			id := instanceID{instance: rapid.SampledFrom([]string{"", "i-1", "i-2"}).Draw(t, "instance"), startedUnixMs: rapid.Int64Range(0, 2).Draw(t, "started")}
			return targetRecord{departure: departedInstance{instanceID: id, leftUnixMs: rapid.Int64Range(1, 3).Draw(t, "left")}}
		}), 0, 12).Draw(t, "records")
		var inOrder, shuffled targetHistory
		for _, record := range drawn {
			inOrder = inOrder.add(record, now)
		}
		for _, record := range rapid.Permutation(slices.Concat(drawn, drawn)).Draw(t, "order") {
			shuffled = shuffled.add(record, now)
		}
		assert.Assert(t, inOrder.equal(shuffled), "%v %v", inOrder, shuffled)
		var reread targetHistory
		for _, record := range inOrder.records("h") {
			reread = reread.add(decodeTargetRecord(encodeTargetRecord(record)), now)
		}
		assert.Assert(t, inOrder.equal(reread), "%v %v", inOrder, reread)
	})
}
