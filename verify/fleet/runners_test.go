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

// testDeployment has addresses that no other deployment has, and hardly any other run of these tests at the same time.
var testDeployment = Deployment{
	Name:    "test",
	Network: 61 + os.Getpid()%180,
	Zones:   []Zone{{Name: "a", Machines: 2, Disks: 1}, {Name: "b", Machines: 1}},
	Runners: 3,
	Mix:     loadtest.Guild,
}

// testAddress returns an address of testDeployment, by all but its first two bytes.
func testAddress(end string) string { return fmt.Sprintf("127.%d.%s", testDeployment.Network, end) }

// newTestRunners returns runners that are warm at once, on a platform without daemons.
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
	runners.profile.ColdTime = 0
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
		t.Errorf("%+v", first.Identity)
	}
	if first.Service != testDeployment.Mix.Service || first.Backend != testDeployment.Mix.Pool {
		t.Errorf("%+v", first.Identity)
	}
	if err := runners.StartBeside(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if beside := runners.At(1); beside.ID != "r01-2" || beside.Address != testAddress("151.2:9100") {
		t.Errorf("%+v", beside.Identity)
	}
	if err := runners.Start(t.Context(), 1); err == nil {
		t.Error("a runner starts at the address of one that still runs")
	}
	first.Crash()
	if err := runners.Start(t.Context(), 1); err != nil {
		t.Errorf("at the address of one that crashed: %v", err)
	}
}

func TestRunnersLeaveTheirPlaces(t *testing.T) {
	runners := newTestRunners(t)
	for place := range testDeployment.Runners {
		if err := runners.Start(t.Context(), place); err != nil {
			t.Fatal(err)
		}
	}
	crashed := runners.At(0)
	runners.Crash(0)
	runners.Crash(0)
	if removed := runners.Remove(2); removed == nil || runners.Remove(2) != nil {
		t.Error("a runner is removed once")
	}
	if present := runners.Present(); len(present) != 1 || present[0] != runners.At(1) {
		t.Errorf("%d runners are in their places", len(present))
	}
	stranger, err := runners.StartStranger(t.Context(), crashed)
	if err != nil {
		t.Fatal(err)
	}
	if stranger.Address != crashed.Address || stranger.ID == crashed.ID || stranger.Service == crashed.Service {
		t.Errorf("%+v", stranger.Identity)
	}
	runners.Stop()
	if len(runners.Present()) != 0 {
		t.Error("runners are in their places after all were stopped")
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

func TestCapacityCountsRunnersThatAreSettled(t *testing.T) {
	runners := newTestRunners(t)
	if err := runners.Start(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if sample := runners.Capacity(); len(sample.Slots) != 0 {
		t.Errorf("at once: %+v", sample)
	}
	if err := waitFor(t.Context(), time.Minute, func() bool { return runners.Capacity().Slots["a"] > 0 }); err != nil {
		t.Fatal(err)
	}
	slots := emulator.DefaultProfile.Slots
	if sample := runners.Capacity(); sample.Slots["a"] != slots || sample.Free["a"] != slots || len(sample.Slots) != 1 {
		t.Errorf("%+v", sample)
	}
	if share := runners.CacheShare(); share != 0 {
		t.Errorf("%v of no tokens are cached", share)
	}
}
