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
	position       EntryVersion
	state          State
	controlAddress string
	callsAddress   string
	service        string
	slots          int
	targetState    TargetState
	// logDistance is the time of one round trip to the log in whole milliseconds
	// plus one, 0 when it is not known.
	logDistance uint32
	// inForce is the offset in force when the entry was written.
	inForce uint64
	// unreachable are keys of entries of other daemons.
	unreachable []uint64
	// silentZones are the zones of which a bridge hears nothing.
	silentZones []string
}

// key identifies this writing of the entry over all hosts.
func (e *entry) key() uint64 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:8], e.position.Incarnation)
	binary.LittleEndian.PutUint64(position[8:], e.position.Counter)
	digest := xxhash.New()
	_, _ = digest.WriteString(e.host)
	_, _ = digest.Write(position[:])
	return digest.Sum64()
}

// newEntry returns the first entry of a process.
func newEntry(self Member, incarnation uint64) entry {
	return entry{
		host:           self.Host,
		zone:           self.Zone,
		region:         self.Region,
		position:       EntryVersion{Incarnation: incarnation, Counter: 1},
		state:          Alive,
		controlAddress: self.ControlAddress,
		callsAddress:   self.CallsAddress,
	}
}

// lists reports whether the writer names an entry as unreachable.
func (e *entry) lists(key uint64) bool { return slices.Contains(e.unreachable, key) }

// sameContent reports whether two entries differ in their position at most.
func (e *entry) sameContent(other *entry) bool {
	return e.state == other.state &&
		e.targetState == other.targetState &&
		e.service == other.service &&
		e.slots == other.slots &&
		e.logDistance == other.logDistance &&
		slices.Equal(e.unreachable, other.unreachable) &&
		slices.Equal(e.silentZones, other.silentZones)
}
