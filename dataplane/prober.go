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
	// reportTimeout is the timeout of a request for a load report.
	reportTimeout = 800 * time.Millisecond
	// inactivityThreshold is the time without any bytes after which a runner that a request waits for is probed.
	inactivityThreshold = 200 * time.Millisecond
	// livenessTimeout is the timeout of such a probe.
	livenessTimeout = 250 * time.Millisecond
	// smallFleet is the largest number of daemons with which a report stays fresh for the codec's ReportTTL; with more
	// daemons it stays fresh for longer (freshness).
	smallFleet = 12
)

// prober requests load reports from runners. The responses also show whether the runners are reachable.
type prober struct {
	environment netio.Environment
	loads       *load.Table
	connections *connpool.Pool
	codec       codec.Codec
	disabled    features.Set
	daemons     func() []string
	// probing is the set of ids of the runners with a probe in progress.
	probing sync.Map
}

// freshness returns the age up to which a report is recent enough that no other is requested.
//
// It grows with the number of daemons, because all of them poll the same runners. Little is lost: a polled report is
// too old for a scheduling decision after a short time anyway, and unresponsive runners are detected through the
// requests that wait for them.
func (prober *prober) freshness() time.Duration {
	daemons := time.Duration(max(smallFleet, len(prober.daemons())))
	return prober.codec.ReportTTL() * daemons / smallFleet
}

// probeStale requests a report from every runner whose latest one is outdated, unless a probe is in progress.
func (prober *prober) probeStale() {
	if prober.disabled[features.LoadReports] {
		return
	}
	freshness := prober.freshness()
	for _, runner := range prober.loads.RunnersToPoll(prober.environment.Now(), freshness, freshness == 0) {
		prober.start(runner, reportTimeout, func() {})
	}
}

// probeUnresponsive probes the runners whose connections are inactive while a request waits. The retryable requests at
// a runner that does not respond are also sent to another one.
//
// Inactivity alone does not show a failure: a runner that processes a long prompt is as inactive as an unreachable one,
// but it responds to the probe at once.
func (prober *prober) probeUnresponsive() {
	if prober.disabled[features.SilenceProbes] {
		return
	}
	for _, id := range prober.connections.Unresponsive(inactivityThreshold) {
		if runner, found := prober.loads.Lookup(prober.environment.Now(), id, nil); found {
			prober.start(runner, livenessTimeout, func() { prober.connections.SuspectWaiting(id, inactivityThreshold) })
		}
	}
}

// start probes a runner in another goroutine, unless a probe of the runner is in progress. It calls onFailure if the
// runner does not respond.
func (prober *prober) start(runner load.Runner, timeout time.Duration, onFailure func()) {
	if _, inProgress := prober.probing.LoadOrStore(runner.ID, true); inProgress {
		return
	}
	prober.environment.Go(func() {
		defer prober.probing.Delete(runner.ID)
		if !prober.probe(runner, timeout) {
			onFailure()
		}
	})
}

// probe requests a report from a runner and reports whether it responded.
func (prober *prober) probe(runner load.Runner, timeout time.Duration) bool {
	connection, err := prober.connections.Take(runner.ID, runner.Address)
	if err != nil {
		prober.onProbeFailed(runner.ID, apierror.Of(err))
		return false
	}
	report, err := prober.request(connection, timeout)
	if apierror.Is(err, apierror.NotAnswered) {
		// A runner that rejects the request is reachable, and the connection is reusable.
		prober.connections.Release(connection, 0)
		prober.loads.ReportRefused(prober.environment.Now(), runner.ID)
		return true
	}
	if err != nil {
		_ = connection.Close() // The error that matters is that of the request.
		prober.onProbeFailed(runner.ID, apierror.Of(err))
		return false
	}
	prober.connections.Release(connection, 0)
	prober.loads.RecordPolledReport(prober.environment.Now(), runner.ID, report)
	return true
}

// request requests and parses a load report over a connection.
func (prober *prober) request(connection *connpool.Connection, timeout time.Duration) (load.Report, error) {
	content, err := connection.Get(prober.codec.LoadPath(), timeout)
	if err != nil {
		return load.Report{}, err
	}
	return prober.codec.ParseReport(content)
}

// onProbeFailed records that a runner returned no report. A failed probe ends no request: a runner without a connection
// or a response to spare looks the same as an unreachable one, and may still complete what it works on. It only lets
// requests that may be sent again try another runner too. Only another runner at its address shows that it has
// terminated; the requests that wait for it then fail at once.
func (prober *prober) onProbeFailed(runner string, err *apierror.Error) {
	unresponsive := prober.loads.ReportFailed(prober.environment.Now(), runner, err.Code)
	switch {
	case err.Code == apierror.WrongIdentity:
		prober.connections.AbortInactive(runner)
	case unresponsive:
		prober.connections.Suspect(runner)
	}
}
