package simulation

import (
	"math/rand"
	"testing"

	"wardtray/config"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
	"wardtray/wire"
)

func TestDaemonPickerPrefersTheClientsZone(t *testing.T) {
	world := NewWorld(1)
	first, second := world.AddDaemon("first", "a"), world.AddDaemon("second", "a")
	far := world.AddDaemon("far", "b")
	picker := newDaemonPicker(world, rand.New(rand.NewSource(1)))
	if host := picker.pick("a"); host != nil {
		t.Fatalf("picked %s where none is eligible", host.Address)
	}
	draw := func(zone string) map[*Host]int {
		counts := map[*Host]int{}
		for range 1000 {
			counts[picker.pick(zone)]++
		}
		return counts
	}
	picker.eligible["first"], picker.eligible["second"], picker.eligible["far"] = true, true, true
	if counts := draw("a"); counts[first] < 400 || counts[second] < 400 || counts[far] != 0 {
		t.Errorf("picked from the zone: first %d, second %d, far %d", counts[first], counts[second], counts[far])
	}
	if counts := draw("c"); counts[first] < 200 || counts[second] < 200 || counts[far] < 200 {
		t.Errorf("picked from another zone: first %d, second %d, far %d", counts[first], counts[second], counts[far])
	}
	picker.uneven = true
	if counts := draw("a"); counts[first] < 800 || counts[second] == 0 {
		t.Errorf("picked under uneven load: first %d, second %d", counts[first], counts[second])
	}
	picker.eligible["first"], picker.eligible["second"] = false, false
	if counts := draw("a"); counts[far] != 1000 {
		t.Errorf("picked without an eligible daemon in the zone: far %d", counts[far])
	}
}

func TestCapacitySamplerCountsWarmSoundRunners(t *testing.T) {
	world := NewWorld(1)
	daemon, runner := world.AddDaemon("data", "a"), world.AddRunner("runner", "b")
	runner.up = true
	runner.runner.engine = newEngine(runner, "id", "service", "weights")
	world.Platform.listed = []*wire.Runner{{RunnerId: "id", State: "ready"}}
	slots := runner.runner.engine.profile.Slots
	sampler := newCapacitySampler(world, histories.New())
	sampler.record()
	world.Now = world.Now.Add(warmUpAllowance + runner.runner.engine.profile.WarmUpTime)
	tests := []struct {
		name   string
		change func()
		want   int
	}{
		{"idle", func() {}, slots},
		{"one request", func() { runner.runner.engine.active = 1 }, slots - 1},
		{"misbehaving", func() { runner.runner.engine.rejects = true }, 0},
		{"sound again", func() { runner.runner.engine.rejects = false }, slots - 1},
		{"out of reach", func() { world.topology.Cut(daemon, runner) }, 0},
		{"in reach", world.topology.Heal, slots - 1},
		{"frozen", runner.Freeze, 0},
	}
	if first := sampler.history.CapacitySamples[0]; first.Free["b"] != 0 {
		t.Errorf("%d slots free of a cold runner", first.Free["b"])
	}
	for _, test := range tests {
		test.change()
		sampler.record()
		samples := sampler.history.CapacitySamples
		if free := samples[len(samples)-1].Free["b"]; free != test.want {
			t.Errorf("%s: %d slots free, want %d", test.name, free, test.want)
		}
	}
}

func TestSpecDrafterTakesAwayItsPart(t *testing.T) {
	drafter := newSpecDrafter(rand.New(rand.NewSource(1)), loadtest.Guild, []string{"a", "b", "c"})
	complete := loadtest.Guild.Spec(drafter.zones, "marker-0")
	takesAway := func(spec *config.Spec) bool {
		closed := false
		for _, zone := range spec.Zones {
			closed = closed || zone.Closed
		}
		return closed || len(spec.Routes) < len(complete.Routes) ||
			spec.Backends[0].Weights != complete.Backends[0].Weights ||
			spec.Backends[0].Services[0] != complete.Backends[0].Services[0]
	}
	for _, part := range []float64{0, 0.5, 1} {
		drafter.takeAway = part
		count := 0
		for number := range 200 {
			content := drafter.draft("operation", number)
			parsed, err := config.Parse(content)
			if err != nil {
				t.Fatalf("%s: %v", content, err)
			}
			if takesAway(parsed) {
				count++
			}
		}
		if count < int(200*part*0.8) || count > int(200*part*1.2) {
			t.Errorf("%d of 200 configurations remove something, want a fraction of %v", count, part)
		}
	}
	if drafter.specs["operation"] == nil {
		t.Error("the drafted configuration is not kept")
	}
	for number := range 50 {
		if _, err := config.ParseChange(drafter.draftChange(number).Encode()); err != nil {
			t.Fatal(err)
		}
	}
}
