package snapshot

import "wardtray/apierror"

// Recovered is the state that Open read from a folder.
type Recovered struct {
	// Blank is set if the folder holds neither a log nor a valid slot.
	Blank bool
	// Snapshot is the newest snapshot, and Records are the records appended after it.
	Snapshot []byte
	Records  [][]byte
	// TornBytes is the length in bytes of the torn write that was removed from the end of the log.
	TornBytes int
}

// slotFile is one of the two slot files, as it was read.
type slotFile struct {
	name   string
	length int64
	slot   slot
	// valid is set if the file holds a complete slot.
	valid bool
}

// Open recovers the state from a folder. The error apierror.DataLost means that the folder holds files that can't be
// trusted. apierror.DiskFailed means that reading a file, or syncing what was read, failed; a later call may succeed.
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
		// A slot without a log is left by an interrupted first start or by a lost log. The caller handles both by
		// starting with a new identity.
		if slots[0].valid || slots[1].valid {
			return nil, Recovered{}, apierror.New(apierror.DataLost, "found a slot without a log")
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

// recoverSlot recovers a slot whose log was not started. It syncs the slot first, since it is unknown whether that was
// done, and then starts the log.
func (store *Store) recoverSlot(newest *slotFile) (*Store, Recovered, error) {
	if err := store.folder.Truncate(newest.name, newest.length); err != nil {
		return nil, Recovered{}, apierror.Wrap(err, apierror.DiskFailed, "syncing %s", newest.name)
	}
	return store, Recovered{Snapshot: newest.slot.snapshot}, store.startLog()
}

// recoverSlotAndLog recovers a slot and the log that continues it. It truncates the torn end of the log and syncs the
// log.
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

// newestSlot returns the newest valid slot that is not older than a log's generation, or nil if there is none. A slot
// newer than the log contains all records of the log.
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
