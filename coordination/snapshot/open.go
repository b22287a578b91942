package snapshot

import "wardtray/apierror"

// Recovered is what a folder held.
type Recovered struct {
	// Blank is whether the folder holds nothing at all.
	Blank bool
	// Snapshot is the newest snapshot, and Records are those that were appended since.
	Snapshot []byte
	Records  [][]byte
	// TornBytes is the number of bytes that were cut off the end of the log.
	TornBytes int
}

// slotFile is what one of the two slot files held.
type slotFile struct {
	name   string
	length int64
	slot   slot
	// valid is whether the file holds a complete slot.
	valid bool
}

// Open reads a folder back. apierror.DataLost means that there are files which can't be trusted. apierror.DiskFailed
// means that the disk can't be made to keep what was read; it may do so later.
func Open(folder Folder) (*Store, Recovered, error) {
	content, found, err := folder.Read(logName)
	if err != nil {
		return nil, Recovered{}, apierror.Wrap(err, apierror.DiskFailed, "reading the log")
	}
	slots, err := readSlots(folder)
	if err != nil {
		return nil, Recovered{}, err
	}
	store := &Store{folder: folder}
	if !found {
		// A slot alone may be a first start cut short or a lost log; both are answered by a new identity.
		if slots[0].valid || slots[1].valid {
			return nil, Recovered{}, apierror.New(apierror.DataLost, "a slot without its log")
		}
		return store, Recovered{Blank: true}, nil
	}
	log, err := decodeLog(content)
	if err != nil {
		return nil, Recovered{}, err
	}
	newest := newestSlot(slots, log.generation)
	if newest == nil {
		return nil, Recovered{}, errSlotDamaged(log.generation)
	}
	store.generation = newest.slot.generation
	if newest.slot.generation > log.generation {
		return store.recoverSlot(newest)
	}
	return store.recoverSlotAndLog(newest, log, len(content))
}

// recoverSlot recovers a slot whose own log was not started, so that nobody knows whether the slot was synced.
func (store *Store) recoverSlot(newest *slotFile) (*Store, Recovered, error) {
	if err := store.folder.Truncate(newest.name, newest.length); err != nil {
		return nil, Recovered{}, apierror.Wrap(err, apierror.DiskFailed, "syncing %s", newest.name)
	}
	return store, Recovered{Snapshot: newest.slot.snapshot}, store.startLog()
}

// recoverSlotAndLog recovers a slot and the log that continues it, which it syncs without its torn end.
func (store *Store) recoverSlotAndLog(newest *slotFile, log log, fileLength int) (*Store, Recovered, error) {
	store.logLength = int64(log.length)
	if err := store.folder.Truncate(logName, store.logLength); err != nil {
		return nil, Recovered{}, apierror.Wrap(err, apierror.DiskFailed, "syncing the log without its torn end")
	}
	return store, Recovered{
		Snapshot: newest.slot.snapshot, Records: log.records, TornBytes: fileLength - log.length,
	}, nil
}

func readSlots(folder Folder) (slots [2]slotFile, err error) {
	for index, name := range slotNames {
		content, _, err := folder.Read(name)
		if err != nil {
			return slots, apierror.Wrap(err, apierror.DiskFailed, "reading %s", name)
		}
		slots[index] = slotFile{name: name, length: int64(len(content))}
		slots[index].slot, slots[index].valid = decodeSlot(content)
	}
	return slots, nil
}

// newestSlot returns the valid slot that counts beside a log of a generation, nil where there is none. A slot newer
// than the log contains all that the log does.
func newestSlot(slots [2]slotFile, generation uint64) (newest *slotFile) {
	for index := range slots {
		file := &slots[index]
		if !file.valid || file.slot.generation < generation {
			continue
		}
		if newest == nil || file.slot.generation > newest.slot.generation {
			newest = file
		}
	}
	return newest
}
