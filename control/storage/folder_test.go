package storage

import (
	"errors"
	"slices"
)

// memoryFolder is a data folder in memory. While it is full, every write fails with errFull.
type memoryFolder struct {
	files map[string][]byte
	full  bool
}

var errFull = errors.New("no space left")

func (folder *memoryFolder) Read(name string) ([]byte, bool, error) {
	content, found := folder.files[name]
	return slices.Clone(content), found, nil
}

func (folder *memoryFolder) Put(name string, content []byte) error {
	if folder.full {
		return errFull
	}
	folder.files[name] = slices.Clone(content)
	return nil
}

func (folder *memoryFolder) Append(name string, content []byte) error {
	return folder.Put(name, slices.Concat(folder.files[name], content))
}

func (folder *memoryFolder) Rename(from, to string) error {
	if folder.full {
		return errFull
	}
	folder.files[to] = folder.files[from]
	delete(folder.files, from)
	return nil
}

func (folder *memoryFolder) Truncate(name string, length int64) error {
	return folder.Put(name, folder.files[name][:length])
}

func (folder *memoryFolder) SetAside(string) error {
	folder.files = map[string][]byte{}
	return nil
}
