package fleet

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"wardtray/verify/histories"
)

// newTestFleet creates a fleet of testDeployment, which is stopped when the test ends.
func newTestFleet(t *testing.T) *Fleet {
	t.Helper()
	fleet, err := New(t.Context(), testDeployment, t.TempDir(), t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	return fleet
}

func processNames(processes []*Process) []string {
	names := make([]string, 0, len(processes))
	for _, process := range processes {
		names = append(names, process.Name)
	}
	return names
}

func TestNewCreatesProcesses(t *testing.T) {
	fleet := newTestFleet(t)
	want := []string{"a-1.core", "a-1.data", "a-2.data", "b-1.data"}
	if names := processNames(fleet.Processes()); !slices.Equal(names, want) {
		t.Errorf("processes %q instead of %q", names, want)
	}
	if names := processNames(fleet.processesIn("b")); !slices.Equal(names, want[3:]) {
		t.Errorf("processes in zone b: %q", names)
	}
	core, data := fleet.lastCore().Settings, fleet.DataDaemons()[2].Settings
	if core.Address != testAddress("1.1:7100") || core.HTTP != testAddress("1.1:8100") ||
		core.Folder == "" || core.Platform != "" {
		t.Errorf("settings of a core: %+v", core)
	}
	if data.Address != testAddress("2.1:7200") || data.HTTP != testAddress("2.1:8200") ||
		data.Folder != "" || data.Zone != "b" {
		t.Errorf("settings of a daemon: %+v", data)
	}
	if data.Platform != "http://"+testAddress("250.1:9000")+"/runners" || !slices.Equal(data.Seeds, core.Seeds) {
		t.Errorf("settings of a daemon: %+v", data)
	}
	if history := fleet.History; history.Daemons != 3 || !slices.Equal(history.Zones, []string{"a", "b"}) {
		t.Errorf("the history has %d daemons in %q", history.Daemons, history.Zones)
	}
}

func TestSwappedCoreHasANewAddressAndFolder(t *testing.T) {
	fleet := newTestFleet(t)
	previous := fleet.Cores()[0]
	// The test folder has no binaries, so the new process can't start.
	if err := fleet.swapCore(t.Context(), 0); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v for a missing binary", err)
	}
	swapped := fleet.Cores()[0]
	if swapped.Name != "a-1.core-swapped" || swapped.Settings.Address != testAddress("200.1:7100") {
		t.Errorf("the replacement is %s at %s", swapped.Name, swapped.Settings.Address)
	}
	if swapped.Settings.HTTP != testAddress("200.1:8100") || swapped.Settings.Folder == previous.Settings.Folder {
		t.Errorf("settings of the replacement: %+v", swapped.Settings)
	}
}

func TestWipedCoreLosesItsFolder(t *testing.T) {
	fleet := newTestFleet(t)
	folder := fleet.Cores()[0].Settings.Folder
	if err := os.MkdirAll(filepath.Join(folder, "log"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := fleet.wipeCore(0); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(folder); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v for a deleted data directory", err)
	}
}

// A fault names the affected data daemon or runner: the rules would otherwise tolerate failures everywhere, or nowhere.
func TestFaultsAreRecorded(t *testing.T) {
	fleet := newTestFleet(t)
	if err := fleet.Runners.Start(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	fleet.recordFault("core", fleet.Cores()[0], false, time.Second)
	fleet.recordFault("daemon", fleet.DataDaemons()[0], true, 2*time.Second)
	fleet.recordRunnerFault("runner", fleet.Runners.At(0), 3*time.Second, 4*time.Second)
	want := []histories.Fault{
		{What: "core"},
		{What: "daemon", Daemon: testAddress("1.1:8200"), LosesRequests: true},
		{What: "runner", Runner: "r00-1", DetectionTime: 4 * time.Second},
	}
	for number, fault := range fleet.History.Faults {
		if duration := fault.Until.Sub(fault.At); duration != time.Duration(number+1)*time.Second {
			t.Errorf("fault %s lasts %v", fault.What, duration)
		}
		fault.At, fault.Until = time.Time{}, time.Time{}
		if fault != want[number] {
			t.Errorf("fault %+v instead of %+v", fault, want[number])
		}
	}
	if len(fleet.History.Faults) != len(want) {
		t.Errorf("%d faults are recorded", len(fleet.History.Faults))
	}
}
