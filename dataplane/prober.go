package dataplane

import (
	"sync"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/load"
	"wardtray/features"
	"wardtray/proxy/codec"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

const (
	// reportTimeout is how long a runner has to return its load report.
	reportTimeout = 800 * time.Millisecond
	// inactivityThreshold is after what inactivity a runner that a request waits for is checked, and checkTimeout how
	// long it has to respond to that.
	inactivityThreshold = 200 * time.Millisecond
	checkTimeout        = 250 * time.Millisecond
	// smallFleet is up to how many daemons each requests reports as if it were alone.
	smallFleet = 12
)

// prober requests load reports from runners, by which it also finds out whether they are reachable.
type prober struct {
	environment netio.Environment
	loads       *load.Table
	connections *connpool.Pool
	codec       codec.Codec
	without     features.Set
	daemons     func() []string
	// probing holds the runners with a request under way, by their identities.
	probing sync.Map
}

// freshness returns for how long a report is recent enough not to request another.
//
// Why longer with many daemons: all of them together ask the runners, and a report that did not come with a response is
// too old for a decision a moment later anyway. Unresponsive runners are found by the requests that wait for them.
func (prober *prober) freshness() time.Duration {
	daemons := time.Duration(max(smallFleet, len(prober.daemons())))
	return prober.codec.ReportTTL() * daemons / smallFleet
}

// probeStale requests a report from every runner whose latest one is outdated, unless a request is under way.
func (prober *prober) probeStale() {
	if prober.without[features.LoadReports] {
		return
	}
	freshness := prober.freshness()
	for _, runner := range prober.loads.RunnersToPoll(prober.environment.Now(), freshness, freshness == 0) {
		prober.start(runner, reportTimeout, func() {})
	}
}

// probeUnresponsive checks runners on which requests wait without any activity. The retryable requests of one that does
// not respond are aborted.
//
// Why the check: a runner that processes a long prompt is as inactive as an unreachable one, but it responds to this at
// once.
func (prober *prober) probeUnresponsive() {
	if prober.without[features.SilenceProbes] {
		return
	}
	for _, id := range prober.connections.Unresponsive(inactivityThreshold) {
		if runner, found := prober.loads.Lookup(prober.environment.Now(), id, nil); found {
			prober.start(runner, checkTimeout, func() { prober.connections.AbortRetryable(id, inactivityThreshold) })
		}
	}
}

// start requests a report concurrently with the caller, unless a request to the runner is under way. failed is called
// if the runner does not respond.
func (prober *prober) start(runner load.Runner, timeout time.Duration, failed func()) {
	if _, underWay := prober.probing.LoadOrStore(runner.ID, true); underWay {
		return
	}
	prober.environment.Go(func() {
		defer prober.probing.Delete(runner.ID)
		if !prober.probe(runner, timeout) {
			failed()
		}
	})
}

// probe requests a report from a runner and reports whether it responded.
func (prober *prober) probe(runner load.Runner, timeout time.Duration) bool {
	connection, err := prober.connections.Take(runner.ID, runner.Address)
	if err != nil {
		prober.onMissed(runner.ID, apierror.Of(err))
		return false
	}
	report, err := prober.request(connection, timeout)
	if apierror.Is(err, apierror.NotAnswered) {
		// A runner that rejects the request is reachable, and the connection can be reused.
		prober.connections.Release(connection, 0)
		prober.loads.ReportRefused(prober.environment.Now(), runner.ID)
		return true
	}
	if err != nil {
		_ = connection.Close() // The error that matters is that of the request.
		prober.onMissed(runner.ID, apierror.Of(err))
		return false
	}
	prober.connections.Release(connection, 0)
	prober.loads.RecordPolledReport(prober.environment.Now(), runner.ID, report)
	return true
}

// request requests a report over a connection.
func (prober *prober) request(connection *connpool.Connection, timeout time.Duration) (load.Report, error) {
	content, err := connection.Get(prober.codec.LoadPath(), timeout)
	if err != nil {
		return load.Report{}, err
	}
	return prober.codec.ParseReport(content)
}

// onMissed records that a runner returned no report. The connections of one that has failed for certain are aborted at
// once, so that requests waiting on them learn of it now and not at the end of their latency targets.
func (prober *prober) onMissed(runner string, err *apierror.Error) {
	if prober.loads.ReportFailed(prober.environment.Now(), runner, err.Code) {
		prober.connections.AbortInactive(runner)
	}
}
