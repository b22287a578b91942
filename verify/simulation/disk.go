package simulation

import (
	"errors"
	"math/rand"
)

// disk is a simulated data directory. Every write is synced at once, except that a power loss leaves a torn piece of
// the one write in progress.
type disk struct {
	files       map[string][]byte
	full        bool
	losingPower bool
	random      *rand.Rand
}

var (
	errFull  = errors.New("no space left")
	errPower = errors.New("power lost")
)

func newDisk(random *rand.Rand) *disk { return &disk{files: map[string][]byte{}, random: random} }

func (disk *disk) Read(name string) ([]byte, bool, error) {
	content, found := disk.files[name]
	return append([]byte{}, content...), found, nil
}

// torn fails a write on a full disk, or leaves a random prefix of it behind when the power is lost.
func (disk *disk) torn(before, content []byte, name string) error {
	if disk.full {
		return errFull
	}
	disk.files[name] = append(append([]byte{}, before...), content[:disk.random.Intn(len(content)+1)]...)
	return errPower
}

func (disk *disk) Put(name string, content []byte) error {
	if disk.full || disk.losingPower {
		return disk.torn(nil, content, name)
	}
	disk.files[name] = append([]byte{}, content...)
	return nil
}

func (disk *disk) Append(name string, content []byte) error {
	if disk.full || disk.losingPower {
		return disk.torn(disk.files[name], content, name)
	}
	disk.files[name] = append(append([]byte{}, disk.files[name]...), content...)
	return nil
}

func (disk *disk) Rename(from, to string) error {
	if disk.losingPower {
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
