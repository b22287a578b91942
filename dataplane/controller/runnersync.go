package controller

import (
	"math/rand"
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

const (
	// learnInterval is how often a daemon that has just started asks for the registered runners.
	learnInterval = 300 * time.Millisecond
	// disagreementTimeout is after how long a lease counts although this daemon knows other runners.
	disagreementTimeout = 2 * time.Second
	// disagreementGap is after what pause a disagreement counts as a new one.
	disagreementGap = time.Second
	// syncWindow is for how long a daemon counts as knowing all runners of a peer that has sent them.
	syncWindow = 500 * time.Millisecond
)

// disagreement is since when leases do not count because their senders know other runners, and when the last such lease
// arrived.
type disagreement struct {
	since, last time.Time
}

// observe records one more such lease and reports whether they have arrived for so long that it counts after all.
func (disagreement *disagreement) observe(now time.Time) bool {
	// After a pause this is a new disagreement: in between there was nobody to learn from.
	if now.Sub(disagreement.last) > disagreementGap {
		disagreement.since = now
	}
	disagreement.last = now
	return now.Sub(disagreement.since) >= disagreementTimeout
}

// runnerSync keeps the registered runners the same as those of the core machines, and knows whether they are. It does
// nothing unless runners register themselves.
type runnerSync struct {
	registered bool
	seeds      []string
	exchange   *registry.Exchange
	leases     *leases
	random     *rand.Rand
	// learned is set once any process has sent all the runners that it knows.
	learned     bool
	lastRequest time.Time
	// lastSource is who last sent all the runners that it knows, lastSync when.
	lastSource string
	lastSync   time.Time
	// The disagreements with the head and with acceptors while this daemon holds no lease.
	withHead, withAcceptors disagreement
}

// newRunnerSync returns the state of a daemon that knows no runners.
func newRunnerSync(
	registered bool, seeds []string, exchange *registry.Exchange, leases *leases, random *rand.Rand,
) *runnerSync {
	return &runnerSync{registered: registered, seeds: seeds, exchange: exchange, leases: leases, random: random}
}

// checksum returns the checksum of the runners that this daemon knows.
func (runnerSync *runnerSync) checksum() uint64 { return runnerSync.exchange.Checksum() }

// runners returns the runners that are known at this moment.
func (runnerSync *runnerSync) runners(now time.Time) []*wire.Runner {
	return runnerSync.exchange.Runners(now)
}

// tick forgets runners that were removed long ago and, until any process has responded, asks a seed for the runners.
func (runnerSync *runnerSync) tick(now time.Time) {
	runnerSync.exchange.Prune(now)
	if runnerSync.learned || now.Sub(runnerSync.lastRequest) < learnInterval {
		return
	}
	runnerSync.lastRequest = now
	if seeds := runnerSync.seeds; len(seeds) > 0 {
		runnerSync.exchange.RequestMissing(now, seeds[runnerSync.random.Intn(len(seeds))])
	}
}

// handleChecksum handles the checksum of the runners that another process knows, and asks for what is missing.
func (runnerSync *runnerSync) handleChecksum(now time.Time, from string, checksum uint64) {
	if runnerSync.registered {
		runnerSync.exchange.HandleChecksum(now, from, checksum)
	}
}

// handleUpdate adopts runners of another process and reports whether these were all that it knows.
func (runnerSync *runnerSync) handleUpdate(now time.Time, from string, update *wire.RunnerUpdate) bool {
	runnerSync.exchange.HandleUpdate(now, from, update)
	if !update.Response {
		return false
	}
	runnerSync.learned, runnerSync.lastSource, runnerSync.lastSync = true, from, now
	return true
}

// compareWithHead compares the runners with the checksum of those that the head knows, and reports whether a lease of
// the head's counts.
func (runnerSync *runnerSync) compareWithHead(now time.Time, from string, checksum uint64) bool {
	return runnerSync.compareChecksum(now, from, checksum, &runnerSync.withHead)
}

// compareWithAcceptor compares the runners with the checksum of an acceptor's, and reports whether its confirmation
// counts.
func (runnerSync *runnerSync) compareWithAcceptor(now time.Time, from string, checksum uint64) bool {
	return runnerSync.compareChecksum(now, from, checksum, &runnerSync.withAcceptors)
}

// compareChecksum requests the runners of a process that knows others than this one, and reports whether the lease of
// that process counts. A daemon that has just started, or was partitioned, knows neither which runners came nor which
// left meanwhile, and must learn that before it dispatches again; one that dispatches already learns it meanwhile.
func (runnerSync *runnerSync) compareChecksum(
	now time.Time, from string, checksum uint64, disagreement *disagreement,
) bool {
	if !runnerSync.registered || checksum == runnerSync.checksum() || now.Before(runnerSync.leases.until()) {
		return true
	}
	// While many runners register at once two checksums are seldom equal; having learned all of the other's runners a
	// moment ago is as good.
	if runnerSync.lastSource == from && now.Sub(runnerSync.lastSync) < syncWindow {
		return true
	}
	runnerSync.exchange.EnsureRequested(now, from)
	return disagreement.observe(now)
}
