package snapshot

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sort"
)

// powerSystem is a file system of one folder that keeps, over a loss of power, of each file what was synced with it
// and of each name what the last sync of the folder covered. Everything later is kept or lost by itself.
type powerSystem struct {
	names map[string]*powerFile
	// durable are the names as the last sync of the folder left them; changes are those since.
	durable map[string]*powerFile
	changes []nameChange
	// stepsLeft counts the steps until the process is killed; the step in which it is killed is done in part or not
	// at all.
	stepsLeft int
	random    *rand.Rand
	// lostBoth means that a loss of power has left neither name of a rename.
	lostBoth bool
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

var errKilled = errors.New("the process was killed")

const manySteps = 1 << 30

func newPowerSystem(random *rand.Rand) *powerSystem {
	return &powerSystem{
		names: map[string]*powerFile{}, durable: map[string]*powerFile{}, stepsLeft: manySteps, random: random,
	}
}

func (system *powerSystem) isKilled() bool {
	system.stepsLeft--
	return system.stepsLeft < 0
}

func (system *powerSystem) ReadFile(path string) ([]byte, error) {
	file := system.names[filepath.Base(path)]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte{}, file.content...), nil
}

func (system *powerSystem) OpenFile(path string, flag int, _ os.FileMode) (file, error) {
	if system.isKilled() {
		return nil, errKilled
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
	if system.isKilled() {
		return errKilled
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
	if system.isKilled() {
		return errKilled
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
	names := make([]string, 0, len(system.names))
	for name := range system.names {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (system *powerSystem) SyncFolder(string) error {
	if system.isKilled() {
		return errKilled
	}
	system.durable, system.changes = maps.Clone(system.names), nil
	return nil
}

// openFile is an open file of a powerSystem.
type openFile struct {
	system *powerSystem
	file   *powerFile
}

func (opened *openFile) Write(content []byte) (int, error) {
	if opened.system.isKilled() {
		if opened.system.stepsLeft == -1 {
			content = content[:opened.system.random.Intn(len(content)+1)]
			opened.file.content = append(opened.file.content, content...)
		}
		return 0, errKilled
	}
	opened.file.content = append(opened.file.content, content...)
	return len(content), nil
}

func (opened *openFile) Truncate(length int64) error {
	if opened.system.isKilled() {
		return errKilled
	}
	opened.file.content = opened.file.content[:length:length]
	return nil
}

func (opened *openFile) Sync() error {
	if opened.system.isKilled() {
		return errKilled
	}
	opened.file.synced = append([]byte{}, opened.file.content...)
	return nil
}

func (opened *openFile) Close() error { return nil }

// outcomes is the number of outcomes of a name change over a loss of power: lost, kept, and for a rename both names at
// once, or neither. Neither is what a file system without a journal may leave.
const outcomes = 4

// The outcomes in which a change is lost, in which it is kept, and in which a rename leaves neither name.
const (
	changeLost  = 0
	changeKept  = 1
	neitherName = 3
)

// afterPowerLoss returns the file system as a loss of power leaves it. chosen holds one outcome for each change, as
// digits.
func (system *powerSystem) afterPowerLoss(chosen int) *powerSystem {
	names, lostBoth := maps.Clone(system.durable), false
	for _, change := range system.changes {
		outcome := chosen % outcomes
		chosen /= outcomes
		isRename := change.from != "" && change.to != ""
		if outcome == changeLost || outcome == neitherName && !isRename {
			continue
		}
		if outcome == neitherName {
			delete(names, change.from)
			delete(names, change.to)
			lostBoth = true
			continue
		}
		if change.from != "" && outcome == changeKept {
			delete(names, change.from)
		}
		if change.to != "" {
			names[change.to] = change.file
		}
	}
	after, copies := newPowerSystem(system.random), map[*powerFile]*powerFile{}
	after.lostBoth = system.lostBoth || lostBoth
	// In a fixed order, so that a seeded run repeats.
	for _, name := range slices.Sorted(maps.Keys(names)) {
		file := names[name]
		if copies[file] == nil {
			content := system.remains(file)
			copies[file] = &powerFile{content: content, synced: append([]byte{}, content...)}
		}
		after.names[name] = copies[file]
	}
	after.durable = maps.Clone(after.names)
	return after
}

// remains returns what is left of a file: what was synced, and of what was written since nothing, all or a part.
func (system *powerSystem) remains(file *powerFile) []byte {
	switch system.random.Intn(3) {
	case 0:
		return append([]byte{}, file.synced...)
	case 1:
		return append([]byte{}, file.content...)
	}
	common := min(len(file.synced), len(file.content))
	if string(file.synced[:common]) != string(file.content[:common]) {
		common = 0
	}
	length := common + system.random.Intn(len(file.content)-common+1)
	return append([]byte{}, file.content[:length]...)
}

// ways is the number of outcomes of all name changes over a loss of power.
func (system *powerSystem) ways() int {
	ways := 1
	for range system.changes {
		ways *= outcomes
	}
	return ways
}

// clone returns a copy on which another incarnation may go on.
func (system *powerSystem) clone() *powerSystem {
	clone, copies := newPowerSystem(system.random), map[*powerFile]*powerFile{}
	clone.lostBoth = system.lostBoth
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
		clone.names[name] = copied(file)
	}
	for name, file := range system.durable {
		clone.durable[name] = copied(file)
	}
	for _, change := range system.changes {
		clone.changes = append(clone.changes, nameChange{change.from, change.to, copied(change.file)})
	}
	return clone
}
