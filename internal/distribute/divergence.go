package distribute

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// divergedPeers remembers the peers whose digest differed, to tell of each
// once.
type divergedPeers struct {
	mu    sync.Mutex
	peers map[string]bool
}

func newDivergedPeers() *divergedPeers { return &divergedPeers{peers: make(map[string]bool)} }

// markReported reports whether a peer has not been told of before.
func (p *divergedPeers) markReported(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.peers[name]
	p.peers[name] = true
	return !told
}

// CompareDigest checks the digest of a peer. Two daemons at one offset whose digests
// differ have folded the same records to different configurations.
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
	d.logger.Errorf("Configuration of %s differs at offset %d: %x here, %x there.", name, offset, ownDigest, digest)
	d.events.Record(timeline.Event{
		Kind:   timeline.Diverged,
		Offset: offset,
		Peer:   name,
		Digest: fmt.Sprintf("%x", ownDigest),
		Detail: fmt.Sprintf("%x", digest),
	})
}
