package simulation

import (
	"testing"
	"time"
)

// minorityWorld has four core machines, so many of which run.
func minorityWorld(running int) (*World, []*Host) {
	world := NewWorld(1)
	for number := range 4 {
		world.AddCore(string(rune('a'+number)), "z").up = number < running
	}
	return world, world.Cores()
}

func TestMinorityIsLeftWhereMostAreDown(t *testing.T) {
	for running, want := range []bool{false, true, true, false, false} {
		world, _ := minorityWorld(running)
		world.topology.changed()
		world.isolations.refresh()
		if left := world.isolations.isMinorityLeft(); left != want {
			t.Errorf("%d of 4 run: %t", running, left)
		}
	}
}

// A machine that is deaf or mute is none of a majority; what can't agree a moment ago may have left its mark.
func TestMinorityIsLeftWhereMostCannotReachEachOther(t *testing.T) {
	world, cores := minorityWorld(3)
	world.topology.cutOneWay(cores[0], cores, true)
	world.isolations.refresh()
	if !world.isolations.isMinorityLeft() {
		t.Fatal("three of four run, of which one is mute")
	}
	world.topology.Heal()
	world.isolations.refresh()
	world.Now = world.Now.Add(reconnectBound)
	if !world.isolations.isMinorityLeft() {
		t.Error("it has just ended")
	}
	world.Now = world.Now.Add(time.Millisecond)
	if world.isolations.isMinorityLeft() {
		t.Error("it ended long ago")
	}
}
