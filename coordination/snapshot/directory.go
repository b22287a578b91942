package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Directory is a Folder of the machine's own disk, by its path.
type Directory string

func (directory Directory) files() files { return files{string(directory), operatingSystem{}} }

// Read returns the content of a file; found is false where there is none.
func (directory Directory) Read(name string) (content []byte, found bool, err error) {
	return directory.files().Read(name)
}

// Put replaces a file and syncs it and its name.
func (directory Directory) Put(name string, content []byte) error {
	return directory.files().Put(name, content)
}

// Append appends to an existing file and syncs it.
func (directory Directory) Append(name string, content []byte) error {
	return directory.files().Append(name, content)
}

// Rename puts a file in another's place and syncs the folder.
func (directory Directory) Rename(from, to string) error { return directory.files().Rename(from, to) }

// Truncate cuts a file and syncs it and its name.
func (directory Directory) Truncate(name string, length int64) error {
	return directory.files().Truncate(name, length)
}

// SetAside renames the files of a state that can't be trusted, keeping them for whoever wants to look; mark becomes
// part of their names. Only the last state that was set aside is kept.
func (directory Directory) SetAside(mark string) error { return directory.files().SetAside(mark) }

// asideMark is part of the name of each file that was set aside.
const asideMark = ".lost-"

// files implements Folder, and SetAside, in one folder of a file system.
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

// Put creates a new file rather than writing into the old one: after a loss of power during a rename the old name may
// still be there, as a second one of the file that took its place.
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

// Append creates no file: one without a header would be taken for a damaged log.
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

// SetAside keeps only the last state: a disk that fails again and again must not fill up with them. The log goes first,
// since nothing counts without it, whichever of the names a loss of power brings back.
func (files files) SetAside(mark string) error {
	if err := files.removeSetAside(); err != nil {
		return err
	}
	for _, name := range append([]string{logName, newLogName}, slotNames[:]...) {
		err := files.system.Rename(files.path(name), files.path(name+asideMark+mark))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return files.system.SyncFolder(files.folder)
}

// removeSetAside removes the files of a state that was set aside earlier.
func (files files) removeSetAside() error {
	names, err := files.system.Names(files.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.Contains(name, asideMark) {
			continue
		}
		if err := files.removeIfExists(name); err != nil {
			return err
		}
	}
	return nil
}
