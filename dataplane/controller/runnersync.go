package controller

import (
	"math/rand"
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

const (
	// initialSyncInterval is the interval at which a daemon that has just started requests the registered runners.
	initialSyncInterval = 300 * time.Millisecond
	// disagreementTimeout is the duration of a disagreement after which leases count although the runners differ.
	disagreementTimeout = 2 * time.Second
	// disagreementGap is the longest pause between leases of the same disagreement.
	disagreementGap = time.Second
	// syncWindow is the time for which a daemon counts as having all runners of a peer after the peer has sent them.
	syncWindow = 500 * time.Millisecond
)

// disagreement is a period in which leases arrive that do not count, because their senders have other runners than this
// daemon: the times of the first and the last such lease.
type disagreement struct {
	since, last time.Time
}

// observe records a lease whose sender has other runners. It reports whether the disagreement has lasted for
// disagreementTimeout, so that the lease counts nevertheless.
func (disagreement *disagreement) observe(now time.Time) bool {
	// A lease after a pause begins a new disagreement, because this daemon could not receive the sender's runners in the
	// pause.
	if now.Sub(disagreement.last) > disagreementGap {
		disagreement.since = now
	}
	disagreement.last = now
	return now.Sub(disagreement.since) >= disagreementTimeout
}

// runnerSync synchronizes the registered runners with those of the control machines, and decides whether leases count
// while they differ. It does nothing unless runners register themselves.
type runnerSync struct {
	registered bool
	seeds      []string
	exchange   *registry.Exchange
	leases     *leases
	random     *rand.Rand
	// synced is set once any process has sent all of its runners.
	synced      bool
	lastRequest time.Time
	// lastSource is the address of the process that last sent all of its runners.
	lastSource string
	// lastSync is the time at which it sent them.
	lastSync time.Time
	// withHead and withAcceptors are the disagreements with the head and with acceptors while this daemon has no lease.
	withHead, withAcceptors disagreement
}

// newRunnerSync returns the state of a daemon that has no runners.
func newRunnerSync(
	registered bool, seeds []string, exchange *registry.Exchange, leases *leases, random *rand.Rand,
) *runnerSync {
	return &runnerSync{registered: registered, seeds: seeds, exchange: exchange, leases: leases, random: random}
}

// checksum returns the checksum of this daemon's registered runners.
func (runnerSync *runnerSync) checksum() uint64 { return runnerSync.exchange.Checksum() }

// runners returns this daemon's registered runners.
func (runnerSync *runnerSync) runners(now time.Time) []*wire.Runner {
	return runnerSync.exchange.Runners(now)
}

// tick deletes the records of runners that were removed long ago and, until any process has responded, requests the
// runners from a random seed.
func (runnerSync *runnerSync) tick(now time.Time) {
	runnerSync.exchange.Prune(now)
	if runnerSync.synced || now.Sub(runnerSync.lastRequest) < initialSyncInterval {
		return
	}
	runnerSync.lastRequest = now
	if seeds := runnerSync.seeds; len(seeds) > 0 {
		runnerSync.exchange.RequestMissing(now, seeds[runnerSync.random.Intn(len(seeds))])
	}
}

// handleChecksum compares the checksum of another process's runners with this daemon's and requests missing runners.
func (runnerSync *runnerSync) handleChecksum(now time.Time, from string, checksum uint64) {
	if runnerSync.registered {
		runnerSync.exchange.HandleChecksum(now, from, checksum)
	}
}

// handleUpdate adopts runners of another process, and reports whether the update held all runners of that process.
func (runnerSync *runnerSync) handleUpdate(now time.Time, from string, update *wire.RunnerUpdate) bool {
	runnerSync.exchange.HandleUpdate(now, from, update)
	if !update.Response {
		return false
	}
	runnerSync.synced, runnerSync.lastSource, runnerSync.lastSync = true, from, now
	return true
}

// compareWithHead reports whether a lease granted by the head counts, given the checksum of the head's runners.
func (runnerSync *runnerSync) compareWithHead(now time.Time, from string, checksum uint64) bool {
	return runnerSync.compareChecksum(now, from, checksum, &runnerSync.withHead)
}

// compareWithAcceptor reports whether an acceptor's confirmation counts, given the checksum of the acceptor's runners.
func (runnerSync *runnerSync) compareWithAcceptor(now time.Time, from string, checksum uint64) bool {
	return runnerSync.compareChecksum(now, from, checksum, &runnerSync.withAcceptors)
}

// compareChecksum reports whether a lease of a process counts, given the checksum of that process's runners. If its
// runners differ from this daemon's and this daemon has no lease, it requests them. A daemon that has just started, or
// was partitioned, has missed runners that were added or removed, and must receive them before it dispatches again. A
// daemon that has a lease continues to dispatch while it synchronizes.
func (runnerSync *runnerSync) compareChecksum(
	now time.Time, from string, checksum uint64, disagreement *disagreement,
) bool {
	if !runnerSync.registered || checksum == runnerSync.checksum() || now.Before(runnerSync.leases.until()) {
		return true
	}
	// While many runners register at once, two checksums are seldom equal. It is sufficient that the other process has
	// sent all of its runners within the last syncWindow.
	if runnerSync.lastSource == from && now.Sub(runnerSync.lastSync) < syncWindow {
		return true
	}
	runnerSync.exchange.EnsureRequested(now, from)
	return disagreement.observe(now)
}
