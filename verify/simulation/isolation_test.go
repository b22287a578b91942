package simulation

import (
	"testing"
	"time"
)

func TestIsolationTrackerNotesLossAndReturnOfTheCore(t *testing.T) {
	world := NewWorld(1)
	core, daemon := world.AddCore("core", "a"), world.AddDaemon("data", "a")
	core.up, daemon.up = true, true
	world.isolations.refresh()
	if !world.isolations.of(daemon).since.IsZero() {
		t.Fatal("a daemon that reaches the core is isolated")
	}
	lost := world.Now
	world.topology.Cut(core, daemon)
	world.isolations.refresh()
	if !world.isolations.of(daemon).since.Equal(lost) {
		t.Fatalf("isolated since %v, want %v", world.isolations.of(daemon).since, lost)
	}
	world.Now = world.Now.Add(time.Second)
	world.topology.Heal()
	world.isolations.refresh()
	isolation := world.isolations.of(daemon)
	if !isolation.since.IsZero() || !isolation.previous.Equal(lost) || !isolation.finished.Equal(world.Now) {
		t.Errorf("after the return: %+v", isolation)
	}
}
