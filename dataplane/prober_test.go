package dataplane

import (
	"context"
	"errors"
	"testing"
	"time"

	"wardtray/balancer/load"
	"wardtray/features"
	"wardtray/proxy/codec"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

// newTestProber returns a prober with one listed runner that refuses connections, the number of dials, and the
// functions that the prober has started as goroutines. These do not run by themselves.
func newTestProber(daemons int) (tested *prober, dials *int, work *[]func()) {
	dials, work = new(int), new([]func())
	environment := netio.Environment{
		Now: func() time.Time { return started },
		Go:  func(do func()) { *work = append(*work, do) },
		Dial: func(_ context.Context, _ string, _ netio.Timeouts) (netio.Conn, error) {
			*dials++
			return nil, errors.New("connection refused")
		},
	}
	loads := load.NewTable(started.Add(-time.Minute), "d0")
	loads.UpdateListing(started.Add(-time.Minute), []*wire.Runner{{RunnerId: "r", Address: "x", State: "ready"}})
	return &prober{
		environment: environment,
		loads:       loads,
		connections: connpool.New(environment, "/identity"),
		codec:       codec.Native{},
		disabled:    features.Set{},
		daemons:     func() []string { return make([]string, daemons) },
	}, dials, work
}

// At most one probe of a runner is in progress at a time, and a failed probe calls the function given for that.
func TestProbesDoNotOverlap(t *testing.T) {
	tested, dials, work := newTestProber(1)
	failures := 0
	runner, found := tested.loads.Lookup(started, "r", nil)
	if !found {
		t.Fatal("runner r is not in the load table")
	}
	for range 2 {
		tested.start(runner, reportTimeout, func() { failures++ })
	}
	if len(*work) != 1 {
		t.Fatalf("%d probes are in progress, want 1", len(*work))
	}
	(*work)[0]()
	if *dials != 1 || failures != 1 {
		t.Errorf("%d dials and %d calls on failure, want 1 of each", *dials, failures)
	}
	tested.start(runner, reportTimeout, func() {})
	if len(*work) != 2 {
		t.Error("no probe was started after the first one had ended")
	}
}

// Runners with an outdated report are probed, unless the feature LoadReports is disabled.
func TestProbeStale(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		tested, _, work := newTestProber(1)
		tested.disabled[features.LoadReports] = disabled
		tested.probeStale()
		if probed := len(*work) > 0; probed == disabled {
			t.Errorf("LoadReports disabled %v: probed %v", disabled, probed)
		}
	}
}

// freshCodec is a codec whose reports are fresh for one second.
type freshCodec struct{ codec.Native }

func (freshCodec) ReportTTL() time.Duration { return time.Second }

// Beyond smallFleet daemons the freshness of reports grows in proportion to the number of daemons.
func TestFreshnessGrowsWithTheFleet(t *testing.T) {
	for daemons, want := range map[int]time.Duration{1: 1, smallFleet: 1, 3 * smallFleet: 3} {
		tested, _, _ := newTestProber(daemons)
		tested.codec = freshCodec{}
		if found := tested.freshness(); found != want*time.Second {
			t.Errorf("%d daemons: %v instead of %v s", daemons, found, int64(want))
		}
	}
}
