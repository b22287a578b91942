package simulation

import "testing"

// A trial outside the repository: hashes of what happened under fixed seeds, to compare before and after a refactoring.
func TestZZTraces(t *testing.T) {
	for seed := int64(1); seed <= 4; seed++ {
		t.Logf("TRACE guild %d %x", seed, play(t, seed, Guild, FaultNames(), 1).Trace())
		t.Logf("TRACE ferries3 %d %x", seed, play(t, seed, Ferries, FaultNames(), 3).Trace())
		t.Logf("TRACE grown %d %x", seed, play(t, seed, Grown, FaultNames(), 1).Trace())
	}
	attempt := Attempt{Faults: append(RunnerFaultNames(), FaultNames()...)}
	for seed := int64(3); seed <= 6; seed++ {
		world := try(t, seed, GuildPath, attempt)
		t.Logf("TRACE guildpath %d %x %s", seed, world.Trace(), world.Traffic.Summary())
		world = try(t, seed, FerriesPath, attempt)
		t.Logf("TRACE ferriespath %d %x %s", seed, world.Trace(), world.Traffic.Summary())
	}
}
