// Package emulator emulates the environment of a fleet of real processes, over loopback sockets: the runners (Runner)
// and the platform (Platform), which lists the runners and assigns clients to data daemons.
//
// A Runner responds to GET /identity, GET /pressure and POST /run as an engine does: it has a bounded number of slots,
// one prefill at a time, a prefix cache, a warm-up period, delayed load reports and a bounded queue beyond which it
// rejects requests. Its Faults make it misbehave. It records every request that it reads in a histories.History.
//
// The Platform updates its list of runners and its knowledge of the daemons' readiness at intervals of UpdateInterval.
// It records which runners are listed as draining or removed from the list.
//
// Both own goroutines and sockets: a Runner from Start to Crash, a Platform from NewPlatform to Close. All exported
// methods are safe for concurrent use, except those of Cache, which is exported for the simulated engines.
package emulator
