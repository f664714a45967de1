// Package soak plays a randomized series of faults against real daemon processes
// and checks, while it runs, what their callers and targets see.
//
// The daemons are separate processes of the program. The store, the targets and
// the callers are stand-ins in this process, and every connection to a daemon or
// to the store passes a proxy on the loopback interface that can delay, reset,
// cut one way or silence it. A seed decides all faults and their times; playing
// it again gives the same plan, not the same interleaving.
package soak
