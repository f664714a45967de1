// Package peer opens and accepts connections between daemons.
//
// One task serves each accepted connection. Each dialled connection belongs
// to the task that dialled it.
package peer

import "context"

// Identity names one daemon process.
type Identity struct {
	Host        string
	Zone        string
	Region      string
	Incarnation uint64
}

// Scope says how far traffic to a peer goes.
type Scope int

// Scopes from near to far.
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

// ScopeOf returns how far two daemons are apart.
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

// WithIdentity returns a context that carries the peer of a connection.
func WithIdentity(ctx context.Context, identity Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, identity)
}

// FromContext returns the peer whose request a handler serves.
func FromContext(ctx context.Context) (Identity, bool) {
	identity, ok := ctx.Value(identityKey{}).(Identity)
	return identity, ok
}
