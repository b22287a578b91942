package simulation

import (
	"testing"
	"time"
)

// runningHost returns a running host without work of its own.
func runningHost(t *testing.T) *Host {
	t.Helper()
	world := NewWorld(1)
	t.Cleanup(world.Close)
	host := world.AddRunner("runner", "a")
	host.up = true
	return host
}

func TestHostDefersWorkWhileFrozen(t *testing.T) {
	host, done := runningHost(t), 0
	work := func() { done++ }
	host.runInProcess(host.incarnation, work)
	host.Freeze()
	host.runInProcess(host.incarnation, work)
	if done != 1 {
		t.Fatalf("%d pieces of work were done by a frozen host, want 1 from before", done)
	}
	host.Wake()
	if done != 2 {
		t.Errorf("%d pieces of work were done, want 2 after the freeze", done)
	}
}

func TestHostDropsWorkOfAnEndedProcess(t *testing.T) {
	host, done := runningHost(t), 0
	incarnation := host.incarnation
	host.Kill()
	host.runInProcess(incarnation, func() { done++ })
	host.up = true
	host.runInProcess(incarnation, func() { done++ })
	if done != 0 {
		t.Errorf("%d pieces of work were done in a process that has ended", done)
	}
}

func TestHostRepeatsWorkUntilItsProcessEnds(t *testing.T) {
	host, done := runningHost(t), 0
	host.startRepeating(host.incarnation, time.Second, func() { done++ })
	host.world.Run(10 * time.Second)
	if done != 10 {
		t.Errorf("done %d times in ten seconds, want 10", done)
	}
	host.Kill()
	host.world.Run(10 * time.Second)
	if done != 10 {
		t.Errorf("done %d times after the process ended, want 10", done)
	}
}
