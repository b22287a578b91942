package simulation

import (
	"testing"
	"time"
)

// latencyBounds are the kinds of fault that are measured, each with the longest time until an acknowledgement and the
// longest gap of a daemon without a fault of its own.
var latencyBounds = map[string]struct {
	names      []string
	ack, pause time.Duration
}{
	"nothing":              {[]string{"runner replaced"}, 300 * time.Millisecond, 0},
	"daemon killed":        {[]string{"data killed"}, 800 * time.Millisecond, 0},
	"daemon without power": {[]string{"data without power"}, 1500 * time.Millisecond, 0},
	"core killed":          {[]string{"core killed"}, 1500 * time.Millisecond, 0},
	"core without power":   {[]string{"core without power"}, 2500 * time.Millisecond, 0},
	"core frozen":          {[]string{"core frozen"}, 2500 * time.Millisecond, 0},
	"head's disk stalled":  {[]string{"head's disk stalled"}, 2500 * time.Millisecond, 0},
	"head killed":          {[]string{"head killed"}, 1500 * time.Millisecond, 0},
	"core slow":            {[]string{"core slow"}, 2500 * time.Millisecond, 0},
	"core halved":          {[]string{"core halved"}, 2500 * time.Millisecond, 0},
	"core replaced":        {[]string{"core replaced"}, 2500 * time.Millisecond, 0},
	"all restarted":        {[]string{"all restarted"}, 2 * time.Second, 500 * time.Millisecond},
	"daemons restarted":    {[]string{"daemons restarted"}, 800 * time.Millisecond, 0},
}

// latencySeeds is the number of seeds for each kind of fault.
const latencySeeds = 1

func TestPace(t *testing.T) {
	t.Parallel()
	for _, shape := range []struct {
		name  string
		kinds []string
		Shape
	}{{"guild", sorted(latencyBounds), Guild}, {"grown", []string{"all restarted", "core killed"}, Grown}} {
		for _, name := range shape.kinds {
			t.Run(shape.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				testLatencies(t, shape.Shape, name)
			})
		}
	}
}

// testLatencies measures one kind of fault and checks its bounds.
func testLatencies(t *testing.T, shape Shape, name string) {
	t.Helper()
	bounds, all := latencyBounds[name], &Latencies{}
	for seed := int64(1); seed <= latencySeeds; seed++ {
		latencies := MeasureLatencies(seed, shape, bounds.names)
		for _, line := range latencies.Violations {
			t.Error(line)
		}
		all.Acks, all.Gaps, all.Starts = append(
			all.Acks,
			latencies.Acks...), append(
			all.Gaps,
			latencies.Gaps...), append(
			all.Starts,
			latencies.Starts...)
	}
	t.Logf("%4d acks: half %v, 0.9 %v, 0.99 %v, all %v; %3d pauses up to %v; %3d starts: half %v, all %v",
		len(all.Acks), Quantile(all.Acks, 0.5), Quantile(all.Acks, 0.9), Quantile(all.Acks, 0.99), Quantile(all.Acks, 1),
		len(all.Gaps), Quantile(all.Gaps, 1), len(all.Starts), Quantile(all.Starts, 0.5), Quantile(all.Starts, 1))
	if len(all.Acks) < 40 || Quantile(all.Acks, 1) > bounds.ack {
		t.Errorf("%d acknowledgements, up to %v; at most %v", len(all.Acks), Quantile(all.Acks, 1), bounds.ack)
	}
	if Quantile(all.Gaps, 1) > bounds.pause {
		t.Errorf("%d pauses of daemons that were left alone, up to %v; at most %v", len(all.Gaps), Quantile(all.Gaps, 1),
			bounds.pause)
	}
}

func TestOrderWatchCountsEachChangeOnce(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	watch := &orderWatch{world: world, operators: newOperators(world, 0)}
	for range 100 {
		watch.sample()
		world.Run(latencySampleInterval)
	}
	accepted := len(world.Check.outcomes.acknowledged)
	if len(watch.acks) == 0 || accepted < len(watch.acks) || accepted > len(watch.acks)+1 {
		t.Fatalf("%d of %d acknowledgements are recorded", len(watch.acks), accepted)
	}
	before := len(watch.acks)
	watch.sendNext()
	watch.target.Freeze()
	watch.sample()
	if watch.order != nil && watch.order.isAnswered() || len(watch.acks) > before {
		t.Errorf("%d acknowledgements after %d, although the target of the change is frozen", len(watch.acks), before)
	}
}

func TestDaemonWatchTellsStartsFromPauses(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	watch, host := newDaemonWatch(world), world.Daemons()[0]
	sample := func(length time.Duration) {
		for end := world.Now.Add(length); world.Now.Before(end); {
			watch.sample()
			world.Run(latencySampleInterval)
		}
	}
	world.recovery.requireService()
	sample(2 * settlingTime)
	host.Kill()
	host.Boot()
	sample(2 * settlingTime)
	if len(watch.starts) != 1 || len(watch.gaps) != 0 {
		t.Fatalf("starts %v, pauses %v after a restart", watch.starts, watch.gaps)
	}
	for _, core := range world.Cores() {
		core.Kill()
	}
	world.topology.Cut(host, world.Daemons()[1])
	sample(2 * settlingTime)
	boot(world.Cores())
	sample(2 * settlingTime)
	if _, paused := watch.paused[host]; paused || len(watch.starts) != 1 {
		t.Errorf("a daemon whose link is cut counts as paused; starts %v", watch.starts)
	}
}
