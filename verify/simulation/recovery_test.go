package simulation

import (
	"strings"
	"testing"
	"time"
)

// settledFleet returns a small fleet that has started completely.
func settledFleet(t *testing.T) *World {
	t.Helper()
	world := NewDeployment(1, Shape{Zones: []string{"a", "b", "c"}, Machines: []int{1, 1, 1}, Disks: []int{1, 1, 1}})
	t.Cleanup(world.Close)
	world.Run(8 * time.Second)
	if !world.recovery.isRedundant() {
		t.Fatalf("a fleet without faults is not redundant\n%s", world.Describe())
	}
	return world
}

func TestRecoveryCheckTellsWhatIsMissing(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(world *World, host *Host)
	}{
		{"a core killed", func(_ *World, host *Host) { host.Kill() }},
		{"a core frozen", func(_ *World, host *Host) { host.Freeze() }},
		{"a disk damaged", func(world *World, _ *Host) { world.recovery.noteDiskDamage() }},
		{"a core added", func(world *World, _ *Host) { world.AddCore("new", "a").Boot() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			world := settledFleet(t)
			test.fault(world, world.Cores()[0])
			if world.recovery.isRedundant() {
				t.Error("the fleet counts as redundant")
			}
		})
	}
}

func TestRecoveryCheckForgetsDiskDamageOnceItMustBeFound(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	world.recovery.noteDiskDamage()
	world.Run(scrubAllowance)
	if !world.recovery.isRedundant() {
		t.Error("the damage still counts after the allowance")
	}
}

func TestRecoveryCheckCallsBackAfterTheRepair(t *testing.T) {
	t.Parallel()
	world := settledFleet(t)
	host, repaired := world.Cores()[0], false
	host.Kill()
	lastEnded := world.Now
	world.recovery.whenRepaired(func() (time.Time, bool) { return lastEnded, false }, func() { repaired = true })
	world.Run(3 * time.Second)
	if repaired {
		t.Fatal("called back while a core is down")
	}
	host.Boot()
	world.Run(5 * time.Second)
	if !repaired || len(world.Check.Violations) > 0 {
		t.Errorf("called back %v, violations %v", repaired, world.Check.Violations)
	}
}

func TestRecoveryCheckReportsARepairThatTakesTooLong(t *testing.T) {
	t.Parallel()
	for _, active := range []bool{false, true} {
		world := settledFleet(t)
		world.Cores()[0].Kill()
		lastEnded := world.Now
		world.recovery.whenRepaired(func() (time.Time, bool) { return lastEnded, active }, func() {})
		world.Run(repairBound + time.Second)
		if reported := len(world.Check.Violations) > 0; reported == active {
			t.Errorf("another fault active %v: violations %v", active, world.Check.Violations)
		}
	}
}

func TestRecoveryCheckRequiresServiceAndRedundancy(t *testing.T) {
	t.Parallel()
	healthy := settledFleet(t)
	healthy.recovery.requireService()
	healthy.recovery.requireRedundancy(healthy.Now)
	if len(healthy.Check.Violations) > 0 {
		t.Errorf("a fleet without faults: %v", healthy.Check.Violations)
	}
	for name, requirement := range map[string]func(recovery *recoveryCheck, since time.Time){
		"not recovered":       func(recovery *recoveryCheck, _ time.Time) { recovery.requireService() },
		"not fully redundant": (*recoveryCheck).requireRedundancy,
	} {
		world := settledFleet(t)
		for _, host := range world.Cores() {
			host.Kill()
		}
		requirement(world.recovery, world.Now)
		if violations := world.Check.Violations; len(violations) != 1 || !strings.Contains(violations[0], name) {
			t.Errorf("%q: violations %v", name, violations)
		}
	}
}
