// Package peer opens and accepts connections between daemons.
//
// One task serves each accepted connection. Each dialled connection is owned by the
// task that dialled it.
package peer

import "context"

// Identity identifies one daemon process.
type Identity struct {
	Host        string
	Zone        string
	Region      string
	Incarnation uint64
}

// Scope is the network distance between two daemons.
type Scope int

// Scopes in order of increasing distance.
const (
	WithinZone Scope = iota
	BetweenZones
	BetweenRegions
)

func (s Scope) String() string {
	switch s {
	case WithinZone:
		return "zone"
	case BetweenZones:
		return "region"
	default:
		return "cross-region"
	}
}

// ScopeOf returns the scope of traffic between two daemons.
func ScopeOf(a, b Identity) Scope {
	switch {
	case a.Region != b.Region:
		return BetweenRegions
	case a.Zone != b.Zone:
		return BetweenZones
	default:
		return WithinZone
	}
}

type identityKey struct{}

// WithIdentity returns a context that carries the identity of a connection's peer.
func WithIdentity(ctx context.Context, identity Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, identity)
}

// FromContext returns the identity of the peer whose request a handler serves.
func FromContext(ctx context.Context) (Identity, bool) {
	identity, ok := ctx.Value(identityKey{}).(Identity)
	return identity, ok
}
