package snapshot

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"wardtray/apierror"
)

// powerSystem is a file system of one folder that keeps, over a loss of power, of each file what was synced with it
// and of each name what the last sync of the folder covered. Everything later is kept or lost by itself.
type powerSystem struct {
	names map[string]*powerFile
	// durable are the names as the last sync of the folder left them; changes are those since.
	durable map[string]*powerFile
	changes []nameChange
	// left counts the steps until the process dies; the one that it dies in is done in part or not at all.
	left   int
	random *rand.Rand
}

// powerFile is a file apart from its names.
type powerFile struct {
	content, synced []byte
}

// nameChange is a name that was made, renamed or removed.
type nameChange struct {
	from, to string
	file     *powerFile
}

var errDied = errors.New("the process has died")

const manySteps = 1 << 30

func newPowerSystem(random *rand.Rand) *powerSystem {
	return &powerSystem{names: map[string]*powerFile{}, durable: map[string]*powerFile{}, left: manySteps, random: random}
}

func (system *powerSystem) dies() bool {
	system.left--
	return system.left < 0
}

func (system *powerSystem) ReadFile(path string) ([]byte, error) {
	file := system.names[filepath.Base(path)]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte{}, file.content...), nil
}

func (system *powerSystem) OpenFile(path string, flag int, _ os.FileMode) (file, error) {
	if system.dies() {
		return nil, errDied
	}
	name := filepath.Base(path)
	found := system.names[name]
	if found == nil {
		if flag&os.O_CREATE == 0 {
			return nil, fs.ErrNotExist
		}
		found = &powerFile{}
		system.names[name] = found
		system.changes = append(system.changes, nameChange{to: name, file: found})
	}
	if flag&os.O_TRUNC != 0 {
		found.content = nil
	}
	return &openFile{system, found}, nil
}

func (system *powerSystem) Rename(from, to string) error {
	if system.dies() {
		return errDied
	}
	from, to = filepath.Base(from), filepath.Base(to)
	file := system.names[from]
	if file == nil {
		return fs.ErrNotExist
	}
	delete(system.names, from)
	system.names[to] = file
	system.changes = append(system.changes, nameChange{from, to, file})
	return nil
}

func (system *powerSystem) Remove(path string) error {
	if system.dies() {
		return errDied
	}
	name := filepath.Base(path)
	if system.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(system.names, name)
	system.changes = append(system.changes, nameChange{from: name})
	return nil
}

func (system *powerSystem) Names(string) ([]string, error) {
	var names []string
	for name := range system.names {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (system *powerSystem) SyncFolder(string) error {
	if system.dies() {
		return errDied
	}
	system.durable, system.changes = copyNames(system.names), nil
	return nil
}

func copyNames(names map[string]*powerFile) map[string]*powerFile {
	made := map[string]*powerFile{}
	for name, file := range names {
		made[name] = file
	}
	return made
}

// openFile is an open file of a powerSystem.
type openFile struct {
	system *powerSystem
	file   *powerFile
}

func (opened *openFile) Write(content []byte) (int, error) {
	if opened.system.dies() {
		if opened.system.left == -1 {
			content = content[:opened.system.random.Intn(len(content)+1)]
			opened.file.content = append(opened.file.content, content...)
		}
		return 0, errDied
	}
	opened.file.content = append(opened.file.content, content...)
	return len(content), nil
}

func (opened *openFile) Truncate(length int64) error {
	if opened.system.dies() {
		return errDied
	}
	opened.file.content = opened.file.content[:length:length]
	return nil
}

func (opened *openFile) Sync() error {
	if opened.system.dies() {
		return errDied
	}
	opened.file.synced = append([]byte{}, opened.file.content...)
	return nil
}

func (opened *openFile) Close() error { return nil }

// fates is in how many ways a change of a name may come out of a loss of power: lost, kept, and for a rename both
// names at once.
const fates = 3

// afterPower gives a file system as a loss of power leaves it. chosen holds one fate for each change, as digits.
func (system *powerSystem) afterPower(chosen int) *powerSystem {
	names := copyNames(system.durable)
	for _, change := range system.changes {
		fate := chosen % fates
		chosen /= fates
		if fate == 0 {
			continue
		}
		if change.from != "" && fate == 1 {
			delete(names, change.from)
		}
		if change.to != "" {
			names[change.to] = change.file
		}
	}
	after, copies := newPowerSystem(system.random), map[*powerFile]*powerFile{}
	for name, file := range names {
		if copies[file] == nil {
			left := system.leftOf(file)
			copies[file] = &powerFile{content: left, synced: append([]byte{}, left...)}
		}
		after.names[name] = copies[file]
	}
	after.durable = copyNames(after.names)
	return after
}

// leftOf gives what is left of a file: what was synced, and of what was written since nothing, all or a part.
func (system *powerSystem) leftOf(file *powerFile) []byte {
	switch system.random.Intn(3) {
	case 0:
		return append([]byte{}, file.synced...)
	case 1:
		return append([]byte{}, file.content...)
	}
	kept := min(len(file.synced), len(file.content))
	if string(file.synced[:kept]) != string(file.content[:kept]) {
		kept = 0
	}
	return append([]byte{}, file.content[:kept+system.random.Intn(len(file.content)-kept+1)]...)
}

// ways is in how many ways the changes of names may come out of a loss of power.
func (system *powerSystem) ways() int {
	ways := 1
	for range system.changes {
		ways *= fates
	}
	return ways
}

// kept is what a history of writes has asked for and what was told as synced.
type kept struct{ synced, asked string }

// script lets a store write until the process dies: r begins a new slot, any other letter is a record.
func (kept *kept) script(store *Store, steps string) {
	for _, step := range steps {
		if step == 'r' {
			if store.Replace([]byte("m"+kept.asked)) != nil {
				return
			}
		} else {
			kept.asked += string(step)
			if store.Append([]byte(string(step))) != nil {
				return
			}
		}
		kept.synced = kept.asked
	}
}

// reopened reads a folder back and wants it to hold all that was told as synced, and nothing that was not asked for.
func reopened(t *testing.T, system *powerSystem, kept *kept, started bool, where ...any) *Store {
	t.Helper()
	store, recovered, err := Open(files{"folder", system})
	if errors.Is(err, errDied) {
		return nil
	}
	if !started && (apierror.Is(err, apierror.NoMemory) || recovered.Blank) {
		return nil
	}
	if err != nil || recovered.Blank || !strings.HasPrefix(string(recovered.Memory), "m") {
		t.Fatalf("%v: blank %v, %v; synced %q", where, recovered.Blank, err, kept.synced)
	}
	text := string(recovered.Memory[1:])
	for _, record := range recovered.Records {
		text += string(record)
	}
	if !strings.HasPrefix(text, kept.synced) || !strings.HasPrefix(kept.asked, text) {
		t.Fatalf("%v: synced %q, asked %q, got back %q", where, kept.synced, kept.asked, text)
	}
	// Whoever read it acts on it, so from now on it must stay.
	kept.synced, kept.asked = text, text
	return store
}

// A process dies at any step of any operation, with or without its machine's power, is started again, goes on, and
// the power goes at any step of that. Whatever subset of the names that were not synced is lost, the last synced
// state or a later one comes back.
func TestAnySubsetOfNamesMayBeLost(t *testing.T) {
	const first = "rabrcrdre"
	random := rand.New(rand.NewSource(1))
	tried := 0
	for died := 0; ; died++ {
		system := newPowerSystem(random)
		system.left = died
		before := kept{}
		store, _, err := Open(files{"folder", system})
		if err != nil {
			t.Fatal(err)
		}
		started := false
		if store.Replace([]byte("m")) == nil {
			started = true
			before.script(store, first)
		}
		whole := system.left >= 0
		system.left = manySteps
		// Without a loss of power, the machine's memory keeps all that was written.
		starts := []*powerSystem{system}
		for chosen := range system.ways() {
			starts = append(starts, system.afterPower(chosen))
		}
		for start, system := range starts {
			tried += dieAgain(t, system, before, started, "died at step", died, "start", start)
		}
		if whole {
			break
		}
	}
	t.Logf("%d ends", tried)
}

// dieAgain starts a store on what a death left behind and lets the power go at each step of its life; it gives the
// number of ends that were tried.
func dieAgain(t *testing.T, start *powerSystem, before kept, started bool, where ...any) (tried int) {
	t.Helper()
	for again := 0; again < 40; again++ {
		next := start.clone()
		next.left = again
		after := before
		store := reopened(t, next, &after, started, append(where, "again at", again)...)
		if store != nil {
			after.script(store, "xryrz")
		}
		finished := next.left >= 0
		next.left = manySteps
		for chosen := range next.ways() {
			last := after
			reopened(t, next.afterPower(chosen), &last, started, append(where, "power gone at", again, "names", chosen)...)
			tried++
		}
		if finished {
			break
		}
	}
	return tried
}

// clone gives a copy on which a life may go on.
func (system *powerSystem) clone() *powerSystem {
	made, copies := newPowerSystem(system.random), map[*powerFile]*powerFile{}
	copied := func(file *powerFile) *powerFile {
		if file == nil {
			return nil
		}
		if copies[file] == nil {
			copies[file] = &powerFile{append([]byte{}, file.content...), append([]byte{}, file.synced...)}
		}
		return copies[file]
	}
	for name, file := range system.names {
		made.names[name] = copied(file)
	}
	for name, file := range system.durable {
		made.durable[name] = copied(file)
	}
	for _, change := range system.changes {
		made.changes = append(made.changes, nameChange{change.from, change.to, copied(change.file)})
	}
	return made
}

// setAsideFlaw tells what is wrong with a folder whose memory was being set aside; done tells whether that had ended.
func setAsideFlaw(after *powerSystem, done bool) string {
	_, recovered, err := Open(files{"folder", after})
	if !apierror.Is(err, apierror.NoMemory) && (err != nil || !recovered.Blank) {
		return fmt.Sprintf("memory %q, %v", recovered.Memory, err)
	}
	if done && (!recovered.Blank || after.names["log.lost-earlier"] != nil || after.names["log.lost-mark"] == nil) {
		return fmt.Sprintf("blank %v, names %v", recovered.Blank, after.names)
	}
	return ""
}

// A memory that can't be trusted is set aside. Whichever of the names is lost on the way, it is never read as one
// that can be trusted, and only one is kept.
func TestSetAsideLosesAnyNames(t *testing.T) {
	random := rand.New(rand.NewSource(2))
	for died := 0; ; died++ {
		system := newPowerSystem(random)
		folder := files{"folder", system}
		store, _, err := Open(folder)
		if err != nil {
			t.Fatal(err)
		}
		for _, err := range []error{store.Replace([]byte("one")), store.Replace([]byte("two")), store.Append([]byte("three")), folder.Put("log.lost-earlier", []byte("x"))} {
			if err != nil {
				t.Fatal(err)
			}
		}
		// Synced bytes in the middle of the log are damaged.
		log := system.names["log"]
		log.content[5] ^= 1
		log.synced = append([]byte{}, log.content...)
		system.left = died
		done := folder.SetAside("mark") == nil
		system.left = manySteps
		for chosen := range system.ways() {
			if flaw := setAsideFlaw(system.afterPower(chosen), done); flaw != "" {
				t.Fatalf("died at step %d, names %d: %s", died, chosen, flaw)
			}
		}
		if done {
			break
		}
	}
}

// A folder is made with all above it.
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
