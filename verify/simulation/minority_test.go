package simulation

import "testing"

func TestMinorityIsLeft(t *testing.T) {
	for running, want := range []bool{false, true, true, false, false} {
		world := NewWorld(1)
		for number := range 4 {
			world.AddCore(string(rune('a'+number)), "z").up = number < running
		}
		if left := world.isMinorityLeft(); left != want {
			t.Errorf("%d of 4 run: %t", running, left)
		}
	}
}
