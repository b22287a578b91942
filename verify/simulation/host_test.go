package simulation

import (
	"context"
	"slices"
	"testing"
	"time"
)

// runningHost returns a running host on which nothing happens by itself.
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
	host.on(host.incarnation, work)
	host.Freeze()
	host.on(host.incarnation, work)
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
	host.on(incarnation, func() { done++ })
	host.up = true
	host.on(incarnation, func() { done++ })
	if done != 0 {
		t.Errorf("%d pieces of work were done in a process that has ended", done)
	}
}

func TestHostRepeatsWorkUntilItsProcessEnds(t *testing.T) {
	host, done := runningHost(t), 0
	host.every(host.incarnation, time.Second, func() { done++ })
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

func TestCoroutinesRunOneAtATime(t *testing.T) {
	host := runningHost(t)
	coroutines := host.world.coroutines
	var happened []string
	coroutines.spawn(host, func() {
		coroutines.sleep(time.Second)
		happened = append(happened, "slept")
	})
	ready := make(chan struct{})
	coroutines.spawn(host, func() {
		coroutines.wait(context.Background(), time.Minute, ready)
		happened = append(happened, "woken")
	})
	host.world.After(2*time.Second, func() {
		close(ready)
		coroutines.stir(host)
	})
	host.world.Run(3 * time.Second)
	if want := []string{"slept", "woken"}; !slices.Equal(happened, want) {
		t.Errorf("happened %v, want %v", happened, want)
	}
	if len(host.coroutines) != 0 || coroutines.current != nil {
		t.Errorf("%d coroutines are left", len(host.coroutines))
	}
}

func TestCoroutinesEndWithTheirProcess(t *testing.T) {
	host, unwound, finished := runningHost(t), false, false
	coroutines := host.world.coroutines
	coroutines.spawn(host, func() {
		defer func() { unwound = true }()
		coroutines.sleep(time.Hour)
		finished = true
	})
	host.world.Run(time.Second)
	host.Kill()
	host.world.Run(2 * time.Hour)
	if !unwound || finished {
		t.Errorf("unwound %v, finished %v, want it unwound only", unwound, finished)
	}
}

func TestNetworkDrawsLagWithinDelayAndJitter(t *testing.T) {
	network := NewWorld(1).network
	for range 1000 {
		if lag := network.lag(); lag < defaultDelay || lag > defaultDelay+defaultJitter {
			t.Fatalf("a message takes %v", lag)
		}
	}
}

func TestIsolationTrackerNotesLossAndReturnOfTheCore(t *testing.T) {
	world := NewWorld(1)
	core, daemon := world.AddCore("core", "a"), world.AddData("data", "a")
	core.up, daemon.up = true, true
	world.isolations.refresh()
	if !daemon.isolation.since.IsZero() {
		t.Fatal("a daemon that reaches the core is isolated")
	}
	lost := world.Now
	world.topology.Cut(core, daemon)
	world.isolations.refresh()
	if !daemon.isolation.since.Equal(lost) {
		t.Fatalf("isolated since %v, want %v", daemon.isolation.since, lost)
	}
	world.Now = world.Now.Add(time.Second)
	world.topology.Heal()
	world.isolations.refresh()
	isolation := daemon.isolation
	if !isolation.since.IsZero() || !isolation.previous.Equal(lost) || !isolation.finished.Equal(world.Now) {
		t.Errorf("after the return: %+v", isolation)
	}
}
