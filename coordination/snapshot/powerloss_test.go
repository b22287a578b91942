package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wardtray/apierror"
)

// progress holds the text that a store was requested to write and the text that it reported as synced. A snapshot
// contains the complete text so far, and each record adds one letter.
type progress struct{ synced, requested string }

// run makes a store write until the process is killed: the step r writes a snapshot, any other letter a record.
func (progress *progress) run(store *Store, steps string) {
	for _, step := range steps {
		if step == 'r' {
			if store.SaveSnapshot([]byte("m"+progress.requested)) != nil {
				return
			}
		} else {
			progress.requested += string(step)
			if store.Append([]byte(string(step))) != nil {
				return
			}
		}
		progress.synced = progress.requested
	}
}

// reopen recovers a folder and checks that the result contains everything reported as synced, and nothing that was not
// requested. It returns nil if the process was killed, or if the state may be lost: before the first snapshot was
// saved, which started reports, or after a rename that lost both names.
func reopen(t *testing.T, system *crashFileSystem, progress *progress, started bool, where ...any) *Store {
	t.Helper()
	store, recovered, err := Open(files{"folder", system})
	if errors.Is(err, errKilled) {
		return nil
	}
	if !started && (apierror.Is(err, apierror.DataLost) || recovered.Blank) {
		return nil
	}
	// A rename that lost both names is detected as data loss, and the machine starts with a new identity.
	if system.lostBothNames && apierror.Is(err, apierror.DataLost) {
		return nil
	}
	if err != nil || recovered.Blank || !strings.HasPrefix(string(recovered.Snapshot), "m") {
		t.Fatalf("%v: blank %v, error %v; synced %q", where, recovered.Blank, err, progress.synced)
	}
	text := string(recovered.Snapshot[1:]) + string(bytes.Join(recovered.Records, nil))
	if !strings.HasPrefix(text, progress.synced) || !strings.HasPrefix(progress.requested, text) {
		t.Fatalf("%v: synced %q, requested %q, recovered %q", where, progress.synced, progress.requested, text)
	}
	system.lostBothNames = false
	// The caller relies on the recovered state, so it must survive from now on.
	progress.synced, progress.requested = text, text
	return store
}

// A process is killed at any step of any operation, with or without a power loss. It is restarted and continues to
// write, and the power fails at any step after the restart. Whichever subset of the unsynced name changes is lost, the
// last synced state or a later one must be recovered. This fails if a file, its name or a recovered state is not synced
// before it is used.
func TestAnySubsetOfNamesMayBeLost(t *testing.T) {
	const first = "rabrcrdre"
	random := rand.New(rand.NewSource(1))
	tried := 0
	for killedAt := 0; ; killedAt++ {
		system := newCrashFileSystem(random)
		system.stepsLeft = killedAt
		before := progress{}
		store, _, err := Open(files{"folder", system})
		if err != nil {
			t.Fatal(err)
		}
		started := false
		if store.SaveSnapshot([]byte("m")) == nil {
			started = true
			before.run(store, first)
		}
		finished := system.stepsLeft >= 0
		system.stepsLeft = unlimitedSteps
		// Without a power loss, the page cache keeps everything that was written.
		starts := append(make([]*crashFileSystem, 0, 1+system.outcomeCount()), system)
		for chosen := range system.outcomeCount() {
			starts = append(starts, system.afterPowerLoss(chosen))
		}
		for start, system := range starts {
			tried += restartAndCutPower(t, system, before, started, "killed at step", killedAt, "start", start)
		}
		if finished {
			break
		}
	}
	t.Logf("checked %d outcomes", tried)
}

// restartAndCutPower restarts a store on the files of a killed process and cuts the power at each of its steps. It
// returns the number of outcomes that were checked.
func restartAndCutPower(t *testing.T, start *crashFileSystem, before progress, started bool, where ...any) (tried int) {
	t.Helper()
	for cutAt := 0; cutAt < 40; cutAt++ {
		next := start.clone()
		next.stepsLeft = cutAt
		after := before
		store := reopen(t, next, &after, started, append(where, "restart killed at", cutAt)...)
		if store != nil {
			after.run(store, "xryrz")
		}
		finished := next.stepsLeft >= 0
		next.stepsLeft = unlimitedSteps
		for chosen := range next.outcomeCount() {
			last := after
			reopen(t, next.afterPowerLoss(chosen), &last, started, append(where, "power lost at", cutAt, "names", chosen)...)
			tried++
		}
		if finished {
			break
		}
	}
	return tried
}

// checkSetAside describes the fault of a folder whose state was being set aside, or returns "" if it has none; done
// reports whether SetAside had returned without an error.
func checkSetAside(after *crashFileSystem, done bool) string {
	_, recovered, err := Open(files{"folder", after})
	if !apierror.Is(err, apierror.DataLost) && (err != nil || !recovered.Blank) {
		return fmt.Sprintf("recovered snapshot %q, error %v", recovered.Snapshot, err)
	}
	if done && (!recovered.Blank || after.names["log.lost-earlier"] != nil || after.names["log.lost-mark"] == nil) {
		return fmt.Sprintf("blank %v, names %v", recovered.Blank, after.names)
	}
	return ""
}

// The power fails at any step while a state that can't be trusted is set aside. Whichever name changes are lost, the
// state must never be recovered as a valid one, and only the state that was set aside last must be kept.
func TestSetAsideLosesAnyNames(t *testing.T) {
	random := rand.New(rand.NewSource(2))
	for killedAt := 0; ; killedAt++ {
		system := newCrashFileSystem(random)
		folder := files{"folder", system}
		store, _, err := Open(folder)
		if err != nil {
			t.Fatal(err)
		}
		for _, err := range []error{
			store.SaveSnapshot([]byte("one")), store.SaveSnapshot([]byte("two")), store.Append([]byte("three")),
			folder.Put("log.lost-earlier", []byte("x")),
		} {
			if err != nil {
				t.Fatal(err)
			}
		}
		// Synced bytes in the middle of the log are damaged.
		log := system.names["log"]
		log.content[5] ^= 1
		log.synced = append([]byte{}, log.content...)
		system.stepsLeft = killedAt
		done := folder.SetAside("mark") == nil
		system.stepsLeft = unlimitedSteps
		for chosen := range system.outcomeCount() {
			if fault := checkSetAside(system.afterPowerLoss(chosen), done); fault != "" {
				t.Fatalf("killed at step %d, names %d: %s", killedAt, chosen, fault)
			}
		}
		if done {
			break
		}
	}
}

// MakeDirectory must create a directory with all its parents, and succeed if it exists.
func TestMakeDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a", "b", "c")
	for range 2 {
		if err := MakeDirectory(path, 0o750); err != nil {
			t.Fatal(err)
		}
	}
	if found, err := os.Stat(path); err != nil || !found.IsDir() {
		t.Fatalf("found %v, error %v", found, err)
	}
}
