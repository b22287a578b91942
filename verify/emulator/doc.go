// Package emulator emulates what surrounds a fleet of real processes, over real sockets on loopback: the runners
// (Runner) and the platform (Platform), which lists the runners and hands clients to the daemons.
//
// A Runner responds to GET /identity, GET /pressure and POST /run as an engine does: with a bounded number of slots,
// one prefill at a time, a prefix cache, a slow start, load reports that are old, and a queue beyond which it
// rejects requests. Its Faults make it misbehave. It records every request that it reads in a histories.History.
//
// The Platform's list of runners, and its opinion of which daemons are ready, trail the truth by ListLag. It records
// which runners began to leave, as they are listed.
//
// Both own goroutines and sockets: a Runner from Start to Crash, a Platform from NewPlatform to Close. All exported
// methods are safe for concurrent use. Cache is not; it is exported for the simulated engines.
package emulator
