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

// newTestProber returns a prober of one listed runner at which nobody listens, how often it was dialed, and the work
// that it has started.
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
		without:     features.Set{},
		daemons:     func() []string { return make([]string, daemons) },
	}, dials, work
}

// One request to a runner is under way at a time, and failures are reported to the caller.
func TestProbesDoNotOverlap(t *testing.T) {
	tested, dials, work := newTestProber(1)
	failures := 0
	runner, found := tested.loads.Lookup(started, "r", nil)
	if !found {
		t.Fatal("the runner is not listed")
	}
	for range 2 {
		tested.start(runner, reportTimeout, func() { failures++ })
	}
	if len(*work) != 1 {
		t.Fatalf("%d requests are under way", len(*work))
	}
	(*work)[0]()
	if *dials != 1 || failures != 1 {
		t.Errorf("%d dials, %d failures", *dials, failures)
	}
	tested.start(runner, reportTimeout, func() {})
	if len(*work) != 2 {
		t.Error("no request after the first one has ended")
	}
}

// Runners with an outdated report are asked, unless reports are switched off.
func TestProbeStale(t *testing.T) {
	for _, off := range []bool{false, true} {
		tested, _, work := newTestProber(1)
		tested.without[features.LoadReports] = off
		tested.probeStale()
		if asked := len(*work) > 0; asked == off {
			t.Errorf("switched off %v: asked %v", off, asked)
		}
	}
}

// freshCodec keeps reports fresh for one second.
type freshCodec struct{ codec.Native }

func (freshCodec) ReportTTL() time.Duration { return time.Second }

// Reports stay fresh for longer in large fleets.
func TestFreshnessGrowsWithTheFleet(t *testing.T) {
	for daemons, want := range map[int]time.Duration{1: 1, smallFleet: 1, 3 * smallFleet: 3} {
		tested, _, _ := newTestProber(daemons)
		tested.codec = freshCodec{}
		if found := tested.freshness(); found != want*time.Second {
			t.Errorf("%d daemons: %v instead of %v s", daemons, found, int64(want))
		}
	}
}
