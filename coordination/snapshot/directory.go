package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Directory is the path of a directory on the local disk; it implements Folder.
type Directory string

func (directory Directory) files() files { return files{string(directory), operatingSystem{}} }

// Read returns the content of a file; found is false if it does not exist.
func (directory Directory) Read(name string) (content []byte, found bool, err error) {
	return directory.files().Read(name)
}

// Put creates or replaces a file and syncs it and its name.
func (directory Directory) Put(name string, content []byte) error {
	return directory.files().Put(name, content)
}

// Append appends to an existing file and syncs it.
func (directory Directory) Append(name string, content []byte) error {
	return directory.files().Append(name, content)
}

// Rename renames a file, replacing any file of the new name, and syncs the folder.
func (directory Directory) Rename(from, to string) error { return directory.files().Rename(from, to) }

// Truncate truncates a file to a length and syncs it and its name.
func (directory Directory) Truncate(name string, length int64) error {
	return directory.files().Truncate(name, length)
}

// SetAside renames the files of a state that can't be trusted, so that they are kept for inspection; mark becomes part
// of their names. Only the last state that was set aside is kept.
func (directory Directory) SetAside(mark string) error { return directory.files().SetAside(mark) }

// setAsideInfix is part of the name of each file that was set aside, between its original name and the mark.
const setAsideInfix = ".lost-"

// files implements Folder and SetAside in one folder of a file system.
type files struct {
	folder string
	system fileSystem
}

func (files files) path(name string) string { return filepath.Join(files.folder, name) }

func (files files) Read(name string) (content []byte, found bool, err error) {
	content, err = files.system.ReadFile(files.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return content, err == nil, err
}

// Put creates a new file rather than overwriting the old one: after a power loss during a rename the old name may still
// exist as a second name of the renamed file, which overwriting would damage.
func (files files) Put(name string, content []byte) error {
	if err := files.removeIfExists(name); err != nil {
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

func (files files) removeIfExists(name string) error {
	err := files.system.Remove(files.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// Append doesn't create a missing file: a file without a header would be read as a damaged log.
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

// change opens a file, applies a change to it, syncs it and closes it.
func (files files) change(name string, flag int, change func(file file) error) error {
	opened, err := files.system.OpenFile(files.path(name), os.O_WRONLY|flag, 0o640)
	if err != nil {
		return err
	}
	if err = change(opened); err == nil {
		err = opened.Sync()
	}
	if closeErr := opened.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (files files) Rename(from, to string) error {
	if err := files.system.Rename(files.path(from), files.path(to)); err != nil {
		return err
	}
	return files.system.SyncFolder(files.folder)
}

// SetAside keeps only the last state, so that a disk that fails repeatedly doesn't fill up with discarded states. The
// log is renamed first: without it the other files can't be recovered as a valid state, whichever names a power loss
// restores.
func (files files) SetAside(mark string) error {
	if err := files.removeSetAside(); err != nil {
		return err
	}
	for _, name := range append([]string{logName, newLogName}, slotNames[:]...) {
		err := files.system.Rename(files.path(name), files.path(name+setAsideInfix+mark))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return files.system.SyncFolder(files.folder)
}

// removeSetAside removes the files of states that were set aside earlier.
func (files files) removeSetAside() error {
	names, err := files.system.Names(files.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.Contains(name, setAsideInfix) {
			continue
		}
		if err := files.removeIfExists(name); err != nil {
			return err
		}
	}
	return nil
}
