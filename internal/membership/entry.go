package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// entry is the state that one daemon publishes about itself. Only that daemon
// writes it.
type entry struct {
	host           string
	zone           string
	region         string
	version        EntryVersion
	state          State
	controlAddress string
	callsAddress   string
	service        string
	slots          int
	targetState    TargetState
	targetVersion  string
	// logRTTMs is the round-trip time to the log in whole milliseconds plus one,
	// 0 if unknown.
	logRTTMs uint32
	// appliedOffset is the configuration offset applied on the host when the
	// entry was written.
	appliedOffset uint64
	// unreachableKeys are the keys of the entries of hosts that the writer
	// reports as unreachable.
	unreachableKeys []uint64
	// silentZones are the zones, and by regionKey the regions, from which the
	// writer, a bridge, hears nothing.
	silentZones []string
	// history is what outlives the process. Unlike the other fields it is merged with
	// that of the entry before.
	history targetHistory
}

// key returns a hash that identifies this version of the entry among the
// entries of all hosts.
func (e *entry) key() uint64 {
	var version [16]byte
	binary.LittleEndian.PutUint64(version[:8], e.version.Incarnation)
	binary.LittleEndian.PutUint64(version[8:], e.version.Counter)
	digest := xxhash.New()
	_, _ = digest.WriteString(e.host)
	_, _ = digest.Write(version[:])
	return digest.Sum64()
}

// newEntry returns the first version of a process's entry.
func newEntry(self Member, incarnation uint64) entry {
	return entry{
		host:           self.Host,
		zone:           self.Zone,
		region:         self.Region,
		version:        EntryVersion{Incarnation: incarnation, Counter: 1},
		state:          Alive,
		controlAddress: self.ControlAddress,
		callsAddress:   self.CallsAddress,
	}
}

// listsUnreachable reports whether the writer reports the host of an entry as
// unreachable.
func (e *entry) listsUnreachable(key uint64) bool { return slices.Contains(e.unreachableKeys, key) }

// sameContent reports whether the fields that change while a process runs are
// equal, other than version and appliedOffset.
func (e *entry) sameContent(other *entry) bool {
	return e.state == other.state &&
		e.targetState == other.targetState &&
		e.service == other.service &&
		e.slots == other.slots &&
		e.targetVersion == other.targetVersion &&
		e.logRTTMs == other.logRTTMs &&
		slices.Equal(e.unreachableKeys, other.unreachableKeys) &&
		slices.Equal(e.silentZones, other.silentZones) &&
		e.history.equal(other.history)
}
