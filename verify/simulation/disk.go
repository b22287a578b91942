package simulation

import (
	"errors"
	"math/rand"
)

// disk is a simulated data folder: what is written is synced, unless the power goes in the middle,
// which leaves a torn piece of the one write under way.
type disk struct {
	files  map[string][]byte
	full   bool
	dying  bool
	random *rand.Rand
}

var (
	errFull  = errors.New("no space left")
	errPower = errors.New("the power is gone")
)

func newDisk(random *rand.Rand) *disk { return &disk{files: map[string][]byte{}, random: random} }

func (disk *disk) Read(name string) ([]byte, bool, error) {
	content, found := disk.files[name]
	return append([]byte{}, content...), found, nil
}

// torn leaves a random piece of a write behind when the power goes.
func (disk *disk) torn(before, content []byte, name string) error {
	if disk.full {
		return errFull
	}
	disk.files[name] = append(append([]byte{}, before...), content[:disk.random.Intn(len(content)+1)]...)
	return errPower
}

func (disk *disk) Put(name string, content []byte) error {
	if disk.full || disk.dying {
		return disk.torn(nil, content, name)
	}
	disk.files[name] = append([]byte{}, content...)
	return nil
}

func (disk *disk) Append(name string, content []byte) error {
	if disk.full || disk.dying {
		return disk.torn(disk.files[name], content, name)
	}
	disk.files[name] = append(append([]byte{}, disk.files[name]...), content...)
	return nil
}

func (disk *disk) Rename(from, to string) error {
	if disk.dying {
		return errPower
	}
	disk.files[to] = disk.files[from]
	delete(disk.files, from)
	return nil
}

func (disk *disk) Truncate(name string, length int64) error {
	disk.files[name] = disk.files[name][:length]
	return nil
}

func (disk *disk) SetAside(_ string) error {
	clear(disk.files)
	return nil
}
