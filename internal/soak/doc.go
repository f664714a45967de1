// Package soak is a randomized fault-injection test: it runs real daemon
// processes, injects faults, and checks meanwhile what callers and targets see.
//
// The daemons are separate processes of the program. The store, the targets and
// the callers are stand-ins in this process. Connections from daemons to each
// other and to the store pass through proxies on the loopback interface, which
// can delay, reset or blackhole traffic or drop one direction. The seed
// determines all faults and their times; running it again gives the same plan,
// but not the same interleaving.
package soak
