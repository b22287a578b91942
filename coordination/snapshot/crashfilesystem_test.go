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

// crashFileSystem is a file system of one folder that simulates kills and power losses. A power loss keeps what was
// synced of each file and the names as of the last sync of the folder. Each later write and name change is kept or lost
// independently.
type crashFileSystem struct {
	names map[string]*simulatedFile
	// durable holds the names as of the last sync of the folder, and changes the name changes since.
	durable map[string]*simulatedFile
	changes []nameChange
	// stepsLeft is the number of steps until the process is killed. The step in which it is killed is done in part or
	// not at all.
	stepsLeft int
	random    *rand.Rand
	// lostBothNames is set if a power loss has left neither name of a rename.
	lostBothNames bool
}

// simulatedFile is the content of a file (an inode), which names refer to.
type simulatedFile struct {
	content, synced []byte
}

// nameChange is the creation (from is ""), rename or removal (to is "") of a name.
type nameChange struct {
	from, to string
	file     *simulatedFile
}

var errKilled = errors.New("the process was killed")

// unlimitedSteps is a number of steps that no test reaches.
const unlimitedSteps = 1 << 30

func newCrashFileSystem(random *rand.Rand) *crashFileSystem {
	return &crashFileSystem{
		names: map[string]*simulatedFile{}, durable: map[string]*simulatedFile{}, stepsLeft: unlimitedSteps, random: random,
	}
}

// isKilled counts a step and reports whether the process is killed in it.
func (system *crashFileSystem) isKilled() bool {
	system.stepsLeft--
	return system.stepsLeft < 0
}

func (system *crashFileSystem) ReadFile(path string) ([]byte, error) {
	file := system.names[filepath.Base(path)]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte{}, file.content...), nil
}

func (system *crashFileSystem) OpenFile(path string, flag int, _ os.FileMode) (file, error) {
	if system.isKilled() {
		return nil, errKilled
	}
	name := filepath.Base(path)
	found := system.names[name]
	if found == nil {
		if flag&os.O_CREATE == 0 {
			return nil, fs.ErrNotExist
		}
		found = &simulatedFile{}
		system.names[name] = found
		system.changes = append(system.changes, nameChange{to: name, file: found})
	}
	if flag&os.O_TRUNC != 0 {
		found.content = nil
	}
	return &openFile{system, found}, nil
}

func (system *crashFileSystem) Rename(from, to string) error {
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

func (system *crashFileSystem) Remove(path string) error {
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

func (system *crashFileSystem) Names(string) ([]string, error) {
	names := make([]string, 0, len(system.names))
	for name := range system.names {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (system *crashFileSystem) SyncFolder(string) error {
	if system.isKilled() {
		return errKilled
	}
	system.durable, system.changes = maps.Clone(system.names), nil
	return nil
}

// openFile is an open file of a crashFileSystem.
type openFile struct {
	system *crashFileSystem
	file   *simulatedFile
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

// outcomes is the number of outcomes of a name change in a power loss: lost, kept, and for a rename both names or
// neither. A file system without a journal may leave neither name.
const outcomes = 4

// These are the outcomes in which a change is lost, in which it is kept, and in which a rename leaves neither name.
const (
	changeLost  = 0
	changeKept  = 1
	neitherName = 3
)

// afterPowerLoss returns the file system as a power loss leaves it. The digits of chosen, in base outcomes, select the
// outcome of each name change.
func (system *crashFileSystem) afterPowerLoss(chosen int) *crashFileSystem {
	names, lostBothNames := maps.Clone(system.durable), false
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
			lostBothNames = true
			continue
		}
		if change.from != "" && outcome == changeKept {
			delete(names, change.from)
		}
		if change.to != "" {
			names[change.to] = change.file
		}
	}
	after, copies := newCrashFileSystem(system.random), map[*simulatedFile]*simulatedFile{}
	after.lostBothNames = system.lostBothNames || lostBothNames
	// The order is fixed so that a seeded run is reproducible.
	for _, name := range slices.Sorted(maps.Keys(names)) {
		file := names[name]
		if copies[file] == nil {
			content := system.contentAfterPowerLoss(file)
			copies[file] = &simulatedFile{content: content, synced: append([]byte{}, content...)}
		}
		after.names[name] = copies[file]
	}
	after.durable = maps.Clone(after.names)
	return after
}

// contentAfterPowerLoss returns the content of a file after a power loss: what was synced, and nothing, all or a part
// of what was written since.
func (system *crashFileSystem) contentAfterPowerLoss(file *simulatedFile) []byte {
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

// outcomeCount returns the number of combined outcomes of all name changes in a power loss.
func (system *crashFileSystem) outcomeCount() int {
	count := 1
	for range system.changes {
		count *= outcomes
	}
	return count
}

// clone returns a copy on which another incarnation can run.
func (system *crashFileSystem) clone() *crashFileSystem {
	clone, copies := newCrashFileSystem(system.random), map[*simulatedFile]*simulatedFile{}
	clone.lostBothNames = system.lostBothNames
	copied := func(file *simulatedFile) *simulatedFile {
		if file == nil {
			return nil
		}
		if copies[file] == nil {
			copies[file] = &simulatedFile{append([]byte{}, file.content...), append([]byte{}, file.synced...)}
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
