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

// progress is what a store was requested to write and what it has reported as synced, as one text.
type progress struct{ synced, requested string }

// run lets a store write until the process is killed: r is a snapshot, any other letter a record.
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

// reopen reads a folder back and checks that it holds all that was reported as synced, and nothing that was not
// requested.
func reopen(t *testing.T, system *powerSystem, progress *progress, started bool, where ...any) *Store {
	t.Helper()
	store, recovered, err := Open(files{"folder", system})
	if errors.Is(err, errKilled) {
		return nil
	}
	if !started && (apierror.Is(err, apierror.DataLost) || recovered.Blank) {
		return nil
	}
	// What a rename lost under both names is known to be lost: the machine is a new one then.
	if system.lostBoth && apierror.Is(err, apierror.DataLost) {
		return nil
	}
	if err != nil || recovered.Blank || !strings.HasPrefix(string(recovered.Snapshot), "m") {
		t.Fatalf("%v: blank %v, %v; synced %q", where, recovered.Blank, err, progress.synced)
	}
	text := string(recovered.Snapshot[1:]) + string(bytes.Join(recovered.Records, nil))
	if !strings.HasPrefix(text, progress.synced) || !strings.HasPrefix(progress.requested, text) {
		t.Fatalf("%v: synced %q, asked %q, got back %q", where, progress.synced, progress.requested, text)
	}
	system.lostBoth = false
	// What was read back is relied on, so from now on it must stay.
	progress.synced, progress.requested = text, text
	return store
}

// A process is killed at any step of any operation, with or without a loss of power, is started again, goes on, and
// the power is lost at any step of that. Whatever subset of the names that were not synced is lost, the last synced
// state or a later one is read back.
func TestAnySubsetOfNamesMayBeLost(t *testing.T) {
	const first = "rabrcrdre"
	random := rand.New(rand.NewSource(1))
	tried := 0
	for killedAt := 0; ; killedAt++ {
		system := newPowerSystem(random)
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
		system.stepsLeft = manySteps
		// Without a loss of power, the machine's memory keeps all that was written.
		starts := append(make([]*powerSystem, 0, 1+system.ways()), system)
		for chosen := range system.ways() {
			starts = append(starts, system.afterPowerLoss(chosen))
		}
		for start, system := range starts {
			tried += killAgain(t, system, before, started, "killed at step", killedAt, "start", start)
		}
		if finished {
			break
		}
	}
	t.Logf("%d outcomes", tried)
}

// killAgain starts a store on what a killed process left behind and cuts the power at each step of it; it returns the
// number of outcomes that were tried.
func killAgain(t *testing.T, start *powerSystem, before progress, started bool, where ...any) (tried int) {
	t.Helper()
	for again := 0; again < 40; again++ {
		next := start.clone()
		next.stepsLeft = again
		after := before
		store := reopen(t, next, &after, started, append(where, "again at", again)...)
		if store != nil {
			after.run(store, "xryrz")
		}
		finished := next.stepsLeft >= 0
		next.stepsLeft = manySteps
		for chosen := range next.ways() {
			last := after
			reopen(t, next.afterPowerLoss(chosen), &last, started, append(where, "power gone at", again, "names", chosen)...)
			tried++
		}
		if finished {
			break
		}
	}
	return tried
}

// setAsideFlaw returns what is wrong with a folder whose state was being set aside; done is whether that had ended.
func setAsideFlaw(after *powerSystem, done bool) string {
	_, recovered, err := Open(files{"folder", after})
	if !apierror.Is(err, apierror.DataLost) && (err != nil || !recovered.Blank) {
		return fmt.Sprintf("memory %q, %v", recovered.Snapshot, err)
	}
	if done && (!recovered.Blank || after.names["log.lost-earlier"] != nil || after.names["log.lost-mark"] == nil) {
		return fmt.Sprintf("blank %v, names %v", recovered.Blank, after.names)
	}
	return ""
}

// A state that can't be trusted is set aside. Whichever of the names is lost on the way, it is never read back as one
// that can be trusted, and only the last is retained.
func TestSetAsideLosesAnyNames(t *testing.T) {
	random := rand.New(rand.NewSource(2))
	for killedAt := 0; ; killedAt++ {
		system := newPowerSystem(random)
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
		system.stepsLeft = manySteps
		for chosen := range system.ways() {
			if flaw := setAsideFlaw(system.afterPowerLoss(chosen), done); flaw != "" {
				t.Fatalf("killed at step %d, names %d: %s", killedAt, chosen, flaw)
			}
		}
		if done {
			break
		}
	}
}

// A folder is created with all its parents.
func TestMakeDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a", "b", "c")
	for range 2 {
		if err := MakeDirectory(path, 0o750); err != nil {
			t.Fatal(err)
		}
	}
	if found, err := os.Stat(path); err != nil || !found.IsDir() {
		t.Fatalf("%v %v", found, err)
	}
}
