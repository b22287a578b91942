package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// runSchedule injects faults for 20 s and returns the number of control machines that were down, sampled every 10 ms.
func runSchedule(t *testing.T, names []string, atOnce int) (world *World, down []int) {
	t.Helper()
	const length, sample = 20 * time.Second, 10 * time.Millisecond
	world = settledFleet(t)
	scheduleFaults(world, length, names, atOnce)
	for end := world.Now.Add(length); world.Now.Before(end); {
		world.Run(sample)
		count := 0
		for _, host := range world.Cores() {
			if !host.up {
				count++
			}
		}
		down = append(down, count)
	}
	return world, down
}

func TestFaultSchedulerKeepsToItsNumberAtOnce(t *testing.T) {
	t.Parallel()
	for _, atOnce := range []int{1, 2} {
		world, down := runSchedule(t, []string{"core killed"}, atOnce)
		if most := slices.Max(down); most != atOnce {
			t.Errorf("%d cores were down at once, want %d\n%s", most, atOnce, strings.Join(world.Log, "\n"))
		}
	}
}

func TestFaultSchedulerUndoesEverythingAtItsEnd(t *testing.T) {
	t.Parallel()
	world, _ := runSchedule(t, []string{"core killed", "core frozen", "core cut off"}, 2)
	world.Run(time.Millisecond)
	for _, host := range world.Cores() {
		if !host.up || host.frozen {
			t.Errorf("%s: up %v, frozen %v after the end", host.Address, host.up, host.frozen)
		}
	}
	if world.topology.hasCuts() {
		t.Error("links are cut after the end")
	}
	begun, ended := 0, 0
	for _, line := range world.Log {
		if strings.Contains(line, "end of ") {
			ended++
		} else {
			begun++
		}
	}
	if begun == 0 || begun != ended {
		t.Errorf("%d faults begun, %d ended: %v", begun, ended, world.Log)
	}
}

func TestFaultSchedulerUndoesAFaultOnce(t *testing.T) {
	world, undone := NewWorld(1), 0
	t.Cleanup(world.Close)
	scheduler := &faultScheduler{world: world, unrepaired: 1, active: 1}
	fault := &injectedFault{name: "a fault", undo: func() { undone++ }}
	scheduler.undo(fault)
	scheduler.undo(fault)
	if undone != 1 || scheduler.active != 0 || scheduler.unrepaired != 0 {
		t.Errorf("undone %d times, %d active, %d unrepaired", undone, scheduler.active, scheduler.unrepaired)
	}
}

func TestFaultSchedulerWaitsForTheRepair(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	scheduler := &faultScheduler{world: world}
	scheduler.inject("core killed")
	down := world.Cores()[slices.IndexFunc(world.Cores(), func(host *Host) bool { return !host.up })]
	scheduler.undo(scheduler.injected[0])
	if scheduler.active != 0 || scheduler.unrepaired != 1 {
		t.Fatalf("%d active, %d unrepaired right after the end", scheduler.active, scheduler.unrepaired)
	}
	world.Run(5 * time.Second)
	if !down.up || scheduler.unrepaired != 0 {
		t.Errorf("up %v, %d unrepaired after the repair", down.up, scheduler.unrepaired)
	}
}

func TestFaultInjectorRestartsEachProcessOnce(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	before := map[*Host]int{}
	for _, host := range world.Daemons() {
		before[host] = host.incarnation
	}
	world.injector.restart(world.Daemons())
	world.Run(2 * time.Second)
	for host, incarnation := range before {
		// The end of a process and its start each begin another incarnation.
		if !host.up || host.incarnation != incarnation+2 {
			t.Errorf("%s: up %v, incarnation %d after %d", host.Address, host.up, host.incarnation, incarnation)
		}
	}
}

func TestFaultInjectorLeavesAProcessThatOtherFaultsHold(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	host := world.Daemons()[0]
	world.injector.restartOne(host)
	host.Boot()
	incarnation := host.incarnation
	world.Run(2 * time.Second)
	if host.incarnation != incarnation {
		t.Error("a process that had been started again was started once more")
	}
	host.Freeze()
	world.injector.restartOne(host)
	if !host.up || host.incarnation != incarnation {
		t.Error("a frozen process was restarted")
	}
}

func TestFaultInjectorAddsReplacementsAtNewAddresses(t *testing.T) {
	world := NewWorld(1)
	t.Cleanup(world.Close)
	old := world.AddCore("core", "a")
	for number := 1; number <= 2; number++ {
		added := world.injector.addReplacement(old)
		if want := fmt.Sprint("core+", number); added.Address != want || added.Zone != "a" || added.core == nil ||
			added.up {
			t.Errorf("%s in %s, core %v, up %v; want %s", added.Address, added.Zone, added.core != nil, added.up, want)
		}
		if !slices.Contains(old.seeds, added.Address) {
			t.Errorf("seeds %v, without %s", old.seeds, added.Address)
		}
	}
}

func TestFaultInjectorPrefersRunningRunners(t *testing.T) {
	world := NewWorld(1)
	t.Cleanup(world.Close)
	down, frozen, running := world.AddRunner("down", "a"), world.AddRunner("frozen", "a"), world.AddRunner("running", "a")
	frozen.up, frozen.frozen, running.up = true, true, true
	for range 20 {
		if host := world.injector.runner(); host != running {
			t.Fatalf("chose the runner %s", host.Address)
		}
	}
	running.up = false
	if host := world.injector.runner(); host != down && host != frozen && host != running {
		t.Errorf("chose %v where no runner runs", host)
	}
}
