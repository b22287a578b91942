package fleet

import (
	"fmt"
	"os"
	"testing"
	"time"

	"wardtray/verify/emulator"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// testDeployment uses addresses that no other deployment uses. They depend on the process ID, so that concurrent runs
// of these tests rarely collide.
var testDeployment = Deployment{
	Name:    "test",
	Network: 61 + os.Getpid()%180,
	Zones:   []Zone{{Name: "a", Machines: 2, Disks: 1}, {Name: "b", Machines: 1}},
	Runners: 3,
	Mix:     loadtest.Guild,
}

// testAddress returns the address of testDeployment that ends in the given bytes and port.
func testAddress(end string) string { return fmt.Sprintf("127.%d.%s", testDeployment.Network, end) }

// newTestRunners returns runners without a warm-up time, on a platform without data daemons.
func newTestRunners(t *testing.T) *Runners {
	t.Helper()
	history := histories.New()
	address := addressPlan{testDeployment.Network}.platform()
	platform, err := emulator.NewPlatform(t.Context(), address, nil, history, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	runners := newRunners(testDeployment, platform, history)
	runners.profile.WarmUpTime = 0
	t.Cleanup(runners.Stop)
	return runners
}

func TestRunnersHaveIdentitiesOfTheirOwn(t *testing.T) {
	runners := newTestRunners(t)
	if err := runners.Start(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	first := runners.At(1)
	if first.ID != "r01-1" || first.Address != testAddress("101.2:9100") || first.Zone != "b" {
		t.Errorf("identity of the runner at index 1: %+v", first.Identity)
	}
	if first.Service != testDeployment.Mix.Service || first.Backend != testDeployment.Mix.Backend {
		t.Errorf("service or backend of the runner at index 1: %+v", first.Identity)
	}
	if err := runners.StartReplacement(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if replacement := runners.At(1); replacement.ID != "r01-2" || replacement.Address != testAddress("151.2:9100") {
		t.Errorf("identity of the replacement: %+v", replacement.Identity)
	}
	if err := runners.Start(t.Context(), 1); err == nil {
		t.Error("a runner started at the address of one that still runs")
	}
	first.Crash()
	if err := runners.Start(t.Context(), 1); err != nil {
		t.Errorf("starting at the address of a crashed runner: %v", err)
	}
}

func TestRunnersAreRemoved(t *testing.T) {
	runners := newTestRunners(t)
	for index := range testDeployment.Runners {
		if err := runners.Start(t.Context(), index); err != nil {
			t.Fatal(err)
		}
	}
	crashed := runners.At(0)
	runners.Crash(0)
	runners.Crash(0)
	if removed := runners.Remove(2); removed == nil || runners.Remove(2) != nil {
		t.Error("the first Remove returned no runner, or the second one did")
	}
	if current := runners.Current(); len(current) != 1 || current[0] != runners.At(1) {
		t.Errorf("%d current runners", len(current))
	}
	foreign, err := runners.StartForeign(t.Context(), crashed)
	if err != nil {
		t.Fatal(err)
	}
	if foreign.Address != crashed.Address || foreign.ID == crashed.ID || foreign.Service == crashed.Service {
		t.Errorf("identity of the foreign runner: %+v", foreign.Identity)
	}
	runners.Stop()
	if len(runners.Current()) != 0 {
		t.Error("there are current runners after Stop")
	}
	for _, address := range []string{crashed.Address, testAddress("100.3:9100")} {
		identity := emulator.Identity{ID: "later", Address: address}
		later, err := emulator.Start(t.Context(), identity, emulator.DefaultProfile, histories.New())
		if err != nil {
			t.Errorf("%s is still in use: %v", address, err)
			continue
		}
		later.Crash()
	}
}

// Runners in their warm-up or slow start don't count as capacity: the rules would otherwise report refusals as
// unnecessary while data daemons may not use these runners fully.
func TestCapacityCountsRunnersPastSlowStart(t *testing.T) {
	runners := newTestRunners(t)
	if err := runners.Start(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if sample := runners.Capacity(); len(sample.Slots) != 0 {
		t.Errorf("capacity directly after the start: %+v", sample)
	}
	if err := waitFor(t.Context(), time.Minute, func() bool { return runners.Capacity().Slots["a"] > 0 }); err != nil {
		t.Fatal(err)
	}
	slots := emulator.DefaultProfile.Slots
	if sample := runners.Capacity(); sample.Slots["a"] != slots || sample.Free["a"] != slots || len(sample.Slots) != 1 {
		t.Errorf("capacity after the slow start: %+v", sample)
	}
	if share := runners.CacheShare(); share != 0 {
		t.Errorf("cache share without any tokens: %v", share)
	}
}
