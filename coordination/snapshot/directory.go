package snapshot

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// fileSystem is what a Directory needs of the operating system. After a loss of power a file holds what its last
// Sync covered, and each name that was made, renamed or removed since the last SyncFolder may be kept or lost by itself.
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

// Directory is a folder of the machine's own disk.
type Directory string

func (directory Directory) files() files { return files{string(directory), operatingSystem{}} }

// Read gives a whole file.
func (directory Directory) Read(name string) ([]byte, bool, error) {
	return directory.files().Read(name)
}

// Put replaces a file and syncs it and its name.
func (directory Directory) Put(name string, content []byte) error {
	return directory.files().Put(name, content)
}

// Append adds to a file that is there and syncs it.
func (directory Directory) Append(name string, content []byte) error {
	return directory.files().Append(name, content)
}

// Rename puts a file in another's place and syncs the folder.
func (directory Directory) Rename(from, to string) error { return directory.files().Rename(from, to) }

// Truncate cuts a file and syncs it and its name.
func (directory Directory) Truncate(name string, length int64) error {
	return directory.files().Truncate(name, length)
}

// SetAside moves a memory that can't be trusted out of the way, keeping it for whoever wants to look.
func (directory Directory) SetAside(mark string) error { return directory.files().SetAside(mark) }

// files carries out what a Folder offers, in one folder of a file system.
type files struct {
	folder string
	system fileSystem
}

func (files files) path(name string) string { return filepath.Join(files.folder, name) }

func (files files) Read(name string) ([]byte, bool, error) {
	content, err := files.system.ReadFile(files.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return content, err == nil, err
}

// Put makes a new file. Why not write into the old one: after a loss of power in a rename the old name may be
// there still, as a second one of the file that took its place.
func (files files) Put(name string, content []byte) error {
	if err := files.system.Remove(files.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	err := files.change(name, os.O_CREATE|os.O_TRUNC, func(file file) error {
		_, err := file.Write(content)
		return err
	})
	if err != nil {
		return err
	}
	return files.system.SyncFolder(files.folder)
}

// Append makes no file: one without a header would be taken for a damaged log.
func (files files) Append(name string, content []byte) error {
	return files.change(name, os.O_APPEND, func(file file) error {
		_, err := file.Write(content)
		return err
	})
}

func (files files) Truncate(name string, length int64) error {
	if err := files.change(name, 0, func(file file) error { return file.Truncate(length) }); err != nil {
		return err
	}
	return files.system.SyncFolder(files.folder)
}

// change opens a file, changes it, syncs it and closes it.
func (files files) change(name string, flag int, change func(file file) error) error {
	opened, err := files.system.OpenFile(files.path(name), os.O_WRONLY|flag, 0o640)
	if err != nil {
		return err
	}
	if err = change(opened); err == nil {
		err = opened.Sync()
	}
	if closing := opened.Close(); err == nil {
		err = closing
	}
	return err
}

func (files files) Rename(from, to string) error {
	if err := files.system.Rename(files.path(from), files.path(to)); err != nil {
		return err
	}
	return files.system.SyncFolder(files.folder)
}

// asideMark stands in the name of each file that was set aside.
const asideMark = ".lost-"

// SetAside keeps one memory only, the last: a disk that fails again and again must not fill up with them. The log
// goes first, since nothing counts without it, whichever of the names a loss of power brings back.
func (files files) SetAside(mark string) error {
	names, err := files.system.Names(files.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.Contains(name, asideMark) {
			continue
		}
		if err := files.system.Remove(files.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	for _, name := range append([]string{"log", "log.new"}, slotNames[:]...) {
		err := files.system.Rename(files.path(name), files.path(fmt.Sprintf("%s%s%s", name, asideMark, mark)))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return files.system.SyncFolder(files.folder)
}

// MakeDirectory makes a folder with all above it, and syncs the name of each that it made.
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
		// An earlier life may have been killed before the sync. Where the folder above is not ours to open, whoever
		// made this one has to have synced it.
		_ = operatingSystem{}.SyncFolder(parent)
		return nil
	}
	if err != nil {
		return err
	}
	return operatingSystem{}.SyncFolder(parent)
}

// operatingSystem is the machine's own file system.
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
	if closing := opened.Close(); err == nil {
		err = closing
	}
	return err
}
