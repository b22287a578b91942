package simulation

import (
	"testing"
	"time"
)

// paces are the kinds of harm of a deployment's days, with the longest that an acknowledgement may take and
// that a daemon which was left alone may pause.
var paces = map[string]struct {
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

// paceSeeds is how many seeds each kind of harm is played under.
const paceSeeds = 1

func TestPace(t *testing.T) {
	t.Parallel()
	for _, shape := range []struct {
		name  string
		kinds []string
		Shape
	}{{"guild", sorted(paces), Guild}, {"grown", []string{"all restarted", "core killed"}, Grown}} {
		for _, name := range shape.kinds {
			t.Run(shape.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				testPace(t, shape.Shape, name)
			})
		}
	}
}

// testPace plays one kind of harm and holds its figures to their bounds.
func testPace(t *testing.T, shape Shape, name string) {
	t.Helper()
	bounds, whole := paces[name], &Pace{}
	for seed := int64(1); seed <= paceSeeds; seed++ {
		pace := MeasurePace(seed, shape, bounds.names)
		for _, line := range pace.Broken {
			t.Error(line)
		}
		whole.Acks, whole.Gaps, whole.Starts = append(
			whole.Acks,
			pace.Acks...), append(
			whole.Gaps,
			pace.Gaps...), append(
			whole.Starts,
			pace.Starts...)
	}
	t.Logf("%4d acks: half %v, 0.9 %v, 0.99 %v, all %v; %3d pauses up to %v; %3d starts: half %v, all %v",
		len(whole.Acks), At(whole.Acks, 0.5), At(whole.Acks, 0.9), At(whole.Acks, 0.99), At(whole.Acks, 1),
		len(whole.Gaps), At(whole.Gaps, 1), len(whole.Starts), At(whole.Starts, 0.5), At(whole.Starts, 1))
	if len(whole.Acks) < 40 || At(whole.Acks, 1) > bounds.ack {
		t.Errorf("%d acknowledgements, up to %v; at most %v", len(whole.Acks), At(whole.Acks, 1), bounds.ack)
	}
	if At(whole.Gaps, 1) > bounds.pause {
		t.Errorf("%d pauses of daemons that were left alone, up to %v; at most %v", len(whole.Gaps), At(whole.Gaps, 1),
			bounds.pause)
	}
}

func TestOrderWatchCountsEachChangeOnce(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	watch := &orderWatch{world: world, operators: newOperators(world, 0)}
	for range 100 {
		watch.sample()
		world.Run(paceSample)
	}
	accepted := len(world.Check.outcomes.acknowledged)
	if len(watch.acks) == 0 || accepted < len(watch.acks) || accepted > len(watch.acks)+1 {
		t.Fatalf("%d acknowledgements taken down of %d", len(watch.acks), accepted)
	}
	before := len(watch.acks)
	watch.ask()
	watch.asked.Freeze()
	watch.sample()
	if watch.order != nil && watch.order.isAnswered() || len(watch.acks) > before {
		t.Errorf("%d acknowledgements after %d, though the machine that was asked is frozen", len(watch.acks), before)
	}
}

func TestDaemonWatchTellsStartsFromPauses(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	watch, host := newDaemonWatch(world), world.Datas()[0]
	sample := func(length time.Duration) {
		for end := world.Now.Add(length); world.Now.Before(end); {
			watch.sample()
			world.Run(paceSample)
		}
	}
	world.recovery.requireService()
	sample(2 * settledAfter)
	host.Kill()
	host.Boot()
	sample(2 * settledAfter)
	if len(watch.starts) != 1 || len(watch.gaps) != 0 {
		t.Fatalf("starts %v, pauses %v after a restart", watch.starts, watch.gaps)
	}
	for _, core := range world.Cores() {
		core.Kill()
	}
	world.topology.Cut(host, world.Datas()[1])
	sample(2 * settledAfter)
	boot(world.Cores())
	sample(2 * settledAfter)
	if _, paused := watch.paused[host]; paused || len(watch.starts) != 1 {
		t.Errorf("a daemon whose link is cut counts as paused; starts %v", watch.starts)
	}
}
