package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// fileSystem holds the operations of the operating system that a Directory needs. After a power loss a file holds what
// its last Sync covered, while later writes may be kept, lost or torn. Each name change (creation, rename, removal)
// since the last SyncFolder may be kept or lost independently of the others.
type fileSystem interface {
	ReadFile(path string) ([]byte, error)
	OpenFile(path string, flag int, mode os.FileMode) (file, error)
	Rename(from, to string) error
	Remove(path string) error
	Names(folder string) ([]string, error)
	SyncFolder(folder string) error
}

// file is an open file.
type file interface {
	Write(content []byte) (int, error)
	Truncate(length int64) error
	Sync() error
	Close() error
}

// operatingSystem implements fileSystem with package os.
type operatingSystem struct{}

func (operatingSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (operatingSystem) OpenFile(path string, flag int, mode os.FileMode) (file, error) {
	return os.OpenFile(path, flag, mode)
}

func (operatingSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (operatingSystem) Remove(path string) error { return os.Remove(path) }

func (operatingSystem) Names(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

func (operatingSystem) SyncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = opened.Sync()
	if closeErr := opened.Close(); err == nil {
		err = closeErr
	}
	return err
}

// MakeDirectory creates a directory with all its parents and syncs the name of each, so that the path survives a power
// loss. It succeeds if the directory exists.
func MakeDirectory(path string, mode os.FileMode) error {
	path = filepath.Clean(path)
	parent := filepath.Dir(path)
	if parent == path {
		return nil
	}
	err := os.Mkdir(path, mode)
	if errors.Is(err, fs.ErrNotExist) {
		if err = MakeDirectory(parent, mode); err == nil {
			err = os.Mkdir(path, mode)
		}
	}
	if errors.Is(err, fs.ErrExist) {
		// An earlier incarnation may have been killed before the sync. The error is ignored: if this process may not
		// open the parent, it didn't create this directory, and the creator must have synced it.
		_ = operatingSystem{}.SyncFolder(parent)
		return nil
	}
	if err != nil {
		return err
	}
	return operatingSystem{}.SyncFolder(parent)
}
