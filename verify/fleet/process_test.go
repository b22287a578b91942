package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wardtray/config/process"
)

// script returns a process that runs a shell script, which must write "up" to its log when it is ready. It is killed
// when the test ends.
func script(t *testing.T, body string) *Process {
	t.Helper()
	folder := t.TempDir()
	text := "#!/bin/sh\n" + body + "\n"
	if err := os.WriteFile(filepath.Join(folder, "program"), []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	prepared, err := newProcess("one", "program", process.Settings{Zone: "a"}, folder, folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(prepared.Kill)
	return prepared
}

// awaitUp waits until the process's log contains "up" the given number of times.
func awaitUp(t *testing.T, process *Process, times int) {
	t.Helper()
	if err := waitFor(t.Context(), 10*time.Second, func() bool {
		log, err := os.ReadFile(process.logFile)
		return err == nil && strings.Count(string(log), "up\n") == times
	}); err != nil {
		t.Fatalf("%s is not up: %v", process.Name, err)
	}
}

const loopForever = "echo up; while :; do sleep 0.01; done"

func TestProcessWritesItsSettings(t *testing.T) {
	process := script(t, loopForever)
	content, err := os.ReadFile(process.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	settings := process.Settings
	settings.Zone = ""
	if err := json.Unmarshal(content, &settings); err != nil || settings.Zone != "a" {
		t.Errorf("settings %s, error %v", content, err)
	}
}

func TestProcessRunsUntilItIsKilledAndAgain(t *testing.T) {
	process := script(t, loopForever)
	process.Kill()
	for start := 1; start <= 2; start++ {
		if err := process.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		awaitUp(t, process, start)
		if err := process.Start(t.Context()); !errors.Is(err, ErrRunning) {
			t.Errorf("starting a process that is already running: %v", err)
		}
		process.Kill()
	}
}

func TestProcessTerminates(t *testing.T) {
	process := script(t, "trap 'echo ended; exit 0' TERM; "+loopForever)
	if err := process.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	awaitUp(t, process, 1)
	if err := process.Terminate(t.Context()); err != nil {
		t.Fatal(err)
	}
	if log, err := os.ReadFile(process.logFile); err != nil || !strings.HasSuffix(string(log), "ended\n") {
		t.Errorf("log of the terminated process: %q, %v", log, err)
	}
}

// A process that ignores SIGTERM must not block a scenario after its context has ended.
func TestTerminateReturnsWithItsContext(t *testing.T) {
	process := script(t, "trap '' TERM; "+loopForever)
	if err := process.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	awaitUp(t, process, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := process.Terminate(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Terminate of a process that ignores SIGTERM: %v", err)
	}
}

func TestFrozenProcessDoesNothingUntilItResumes(t *testing.T) {
	process := script(t, "trap 'echo ended; exit 0' TERM; "+loopForever)
	if err := process.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	awaitUp(t, process, 1)
	process.Freeze()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := process.Terminate(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a frozen process ended: %v", err)
	}
	process.Resume()
	if err := process.Terminate(t.Context()); err != nil {
		t.Error(err)
	}
}

// Cancelling the context kills the process, so that an interrupted run leaves no processes behind.
func TestProcessEndsWithItsContext(t *testing.T) {
	process := script(t, loopForever)
	ctx, cancel := context.WithCancel(t.Context())
	if err := process.Start(ctx); err != nil {
		t.Fatal(err)
	}
	awaitUp(t, process, 1)
	cancel()
	select {
	case <-process.finished:
	case <-time.After(10 * time.Second):
		t.Error("the process still runs after its context was cancelled")
	}
}

func TestStartOfAProgramThatIsNotThere(t *testing.T) {
	missing, err := newProcess("one", "program", process.Settings{}, t.TempDir(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := missing.Start(t.Context()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v for a missing binary", err)
	}
}

func TestStartAllAndKillAll(t *testing.T) {
	processes := []*Process{script(t, loopForever), script(t, loopForever)}
	if err := startAll(t.Context(), processes); err != nil {
		t.Fatal(err)
	}
	killAll(processes)
	for _, process := range processes {
		if process.isRunning() {
			t.Errorf("%s still runs", process.Name)
		}
	}
}
