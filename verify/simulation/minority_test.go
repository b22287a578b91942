package simulation

import (
	"testing"
	"time"
)

// minorityWorld returns a world with four control machines, of which the given number runs.
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
		if left := world.isolations.isOnlyMinorityLeft(); left != want {
			t.Errorf("%d of 4 control machines run: only a minority is left %t", running, left)
		}
	}
}

// A machine that can't send to the others is not part of a majority. isOnlyMinorityLeft stays true for reconnectBound
// after a majority is back, since daemons may still be affected.
func TestMinorityIsLeftWhereMostCannotReachEachOther(t *testing.T) {
	world, cores := minorityWorld(3)
	world.topology.cutOneWay(cores[0], cores, true)
	world.isolations.refresh()
	if !world.isolations.isOnlyMinorityLeft() {
		t.Fatal("three of four control machines run, one of them mute, but a majority counts as left")
	}
	world.topology.Heal()
	world.isolations.refresh()
	world.Now = world.Now.Add(reconnectBound)
	if !world.isolations.isOnlyMinorityLeft() {
		t.Error("only a minority is left: false right after a majority is back")
	}
	world.Now = world.Now.Add(time.Millisecond)
	if world.isolations.isOnlyMinorityLeft() {
		t.Error("only a minority is left: true long after a majority is back")
	}
}
