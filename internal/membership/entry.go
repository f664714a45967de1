package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// entry is what one daemon says of itself. Only that daemon writes it.
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
	// logDistance is the time of one round trip to the log in whole milliseconds
	// plus one, 0 when it is not known.
	logRTTMs uint32
	// inForce is the offset in force when the entry was written.
	appliedOffset uint64
	// unreachable are keys of entries of other daemons.
	unreachableKeys []uint64
	// silentZones are the zones of which a bridge hears nothing.
	silentZones []string
}

// key identifies this writing of the entry over all hosts.
func (e *entry) key() uint64 {
	var version [16]byte
	binary.LittleEndian.PutUint64(version[:8], e.version.Incarnation)
	binary.LittleEndian.PutUint64(version[8:], e.version.Counter)
	digest := xxhash.New()
	_, _ = digest.WriteString(e.host)
	_, _ = digest.Write(version[:])
	return digest.Sum64()
}

// newEntry returns the first entry of a process.
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

// lists reports whether the writer names an entry as unreachable.
func (e *entry) listsUnreachable(key uint64) bool { return slices.Contains(e.unreachableKeys, key) }

// sameContent reports whether two entries differ in their position at most.
func (e *entry) sameContent(other *entry) bool {
	return e.state == other.state &&
		e.targetState == other.targetState &&
		e.service == other.service &&
		e.slots == other.slots &&
		e.logRTTMs == other.logRTTMs &&
		slices.Equal(e.unreachableKeys, other.unreachableKeys) &&
		slices.Equal(e.silentZones, other.silentZones)
}
