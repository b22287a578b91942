package simulation

import (
	"testing"
	"time"
)

// A fault that affects all runners also affects those that start while it lasts, each once.
func TestTouchedRunnersIncludeNewOnes(t *testing.T) {
	world := NewDeployment(1, GuildPath)
	defer world.Close()
	world.Run(bootstrapTime)
	affected := &affectedRunners{world: world, impact: impact{detectableAfter: perConnection}}
	affected.record()
	affected.record()
	count := len(world.Traffic.History.Faults)
	if count != len(world.Runners()) {
		t.Fatalf("%d faults are recorded for %d runners", count, len(world.Runners()))
	}
	host := world.Runners()[0]
	former := host.runner.engine.id
	host.Kill()
	host.Boot()
	if host.runner.engine.id == former {
		t.Fatal("the runner came back with its old identity")
	}
	affected.record()
	faults := world.Traffic.History.Faults
	if len(faults) != count+1 || faults[count].Runner != host.runner.engine.id {
		t.Fatalf("%d faults, the last %+v", len(faults), faults[len(faults)-1])
	}
	world.Run(time.Second)
	affected.end()
	for _, fault := range world.Traffic.History.Faults {
		if !fault.Until.Equal(world.Now) {
			t.Errorf("fault %+v is recorded as ending at %v", fault, fault.Until)
		}
	}
}

// Operators that send changes after two returns at the same time never share an operation id.
func TestReturnsShareNoOperation(t *testing.T) {
	injector := &faultInjector{}
	first, second := injector.nextReturn(), injector.nextReturn()
	if second-first < operationsPerReturn || first < firstReturnOperation {
		t.Errorf("operations are counted from %d and from %d", first, second)
	}
}
