package distribute

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// divergedPeers remembers the peers whose digest differed, so that each is
// reported once.
type divergedPeers struct {
	mu    sync.Mutex
	peers map[string]bool
}

func newDivergedPeers() *divergedPeers { return &divergedPeers{peers: make(map[string]bool)} }

// markReported marks a peer as reported. It returns false if the peer already
// was.
func (p *divergedPeers) markReported(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reported := p.peers[name]
	p.peers[name] = true
	return !reported
}

// CompareDigest compares the digest of a peer with that of this daemon. Two
// daemons at one offset whose digests differ have derived different
// configurations from the same records.
func (d *Distributor) CompareDigest(host string, offset uint64, digest []byte) {
	d.compareDigest(host, offset, digest)
}

func (d *Distributor) compareDigest(name string, offset uint64, digest []byte) {
	own, ownDigest := d.enforcer.Position()
	if len(digest) == 0 || own != offset || bytes.HasPrefix(ownDigest, digest) {
		return
	}
	if !d.diverged.markReported(name) {
		return
	}
	d.counters.divergences.Inc()
	d.logger.Errorf("configuration of %s diverged at offset %d: local digest %x, remote digest %x", name, offset, ownDigest, digest)
	d.events.Record(timeline.Event{
		Kind:   timeline.Diverged,
		Offset: offset,
		Peer:   name,
		Digest: fmt.Sprintf("%x", ownDigest),
		Detail: fmt.Sprintf("%x", digest),
	})
}
