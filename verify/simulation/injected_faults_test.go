package simulation

import (
	"testing"
	"time"
)

// A fault that touches all runners touches those that come while it lasts, each once.
func TestTouchedRunnersIncludeNewOnes(t *testing.T) {
	world := Found(1, GuildPath)
	defer world.Close()
	world.Run(foundingTime)
	touched := &touchedRunners{world: world, impact: impact{knowable: perConnection}}
	touched.record()
	touched.record()
	count := len(world.Traffic.History.Faults)
	if count != len(world.Runners()) {
		t.Fatalf("%d faults of %d runners", count, len(world.Runners()))
	}
	host := world.Runners()[0]
	former := host.runner.engine.id
	host.Kill()
	host.Boot()
	if host.runner.engine.id == former {
		t.Fatal("it came back under the same identity")
	}
	touched.record()
	faults := world.Traffic.History.Faults
	if len(faults) != count+1 || faults[count].Runner != host.runner.engine.id {
		t.Fatalf("%d faults, the last %+v", len(faults), faults[len(faults)-1])
	}
	world.Run(time.Second)
	touched.end()
	for _, fault := range world.Traffic.History.Faults {
		if !fault.Until.Equal(world.Now) {
			t.Errorf("%+v ends at %v", fault, fault.Until)
		}
	}
}

// Two operators who send changes after two returns at once never name one operation.
func TestReturnsShareNoOperation(t *testing.T) {
	injector := &faultInjector{}
	first, second := injector.nextReturn(), injector.nextReturn()
	if second-first < operationsPerReturn || first < firstReturn {
		t.Errorf("operations are counted from %d and from %d", first, second)
	}
}
