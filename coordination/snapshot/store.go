// Package snapshot stores the state of a process on disk: a snapshot in one of two slots that are
// written in turn, and a write-ahead log of the records since. Every part carries a checksum.
// Reading back returns exactly what was synced, or reports that nothing can be trusted; it never
// guesses.
//
// # Layout
//
// A folder holds slot.0 and slot.1, of which the even generations use the first, and log, which
// names the generation that it continues. A new slot is synced before the log that continues it
// replaces the old log, so that one of the two pairs of slot and log is complete at every moment.
// Snapshots and records are opaque bytes.
//
// # Contract
//
// One Store at a time has a folder open. Its caller calls Open once, then Store.Append for records
// and Store.SaveSnapshot for a snapshot that contains all records before it; whatever returned without
// an error is there after any later crash. After an error only Store.SaveSnapshot may succeed.
// Store.Scrub notices when the disk no longer holds what was synced.
//
// A crash may lose or keep each write that was not synced, tear it at any byte, and lose or keep
// each name that was created, renamed or removed since the folder was last synced. What is read
// back after a start may itself never have been synced: a process that was killed between a write
// and its sync leaves it in the machine's memory only, and the next loss of power loses it. So Open
// syncs whatever it relies on before it returns it, names included. Synced bytes may be damaged;
// their checksums show it, except that damage to the last record of a log can't be told from a torn
// write.
package snapshot

import "wardtray/apierror"

// Folder is the little of a file system that a Store needs; the simulator brings its own. Each call
// syncs all that it changed before it returns without an error, the folder with its names included.
type Folder interface {
	// Read returns the content of a file; found is false where there is none.
	Read(name string) (content []byte, found bool, err error)
	// Put replaces a file whole; a crash may leave it torn.
	Put(name string, content []byte) error
	// Append appends to an existing file; a crash may leave a torn end.
	Append(name string, content []byte) error
	// Rename puts a file in another's place.
	Rename(from, to string) error
	// Truncate cuts a file to a length. Where it has that length already, it is only synced, and so
	// is the folder.
	Truncate(name string, length int64) error
}

const (
	logName = "log"
	// newLogName is a log that is written before it replaces the present one.
	newLogName = "log.new"
)

var slotNames = [2]string{"slot.0", "slot.1"}

// slotName returns the slot that a generation uses.
func slotName(generation uint64) string { return slotNames[generation%uint64(len(slotNames))] }

// Store is an open folder. It is not safe for concurrent use.
type Store struct {
	folder     Folder
	generation uint64
	logLength  int64
	// failed is set from a failed write on: nobody knows what the disk holds, until a new slot and
	// log are synced.
	failed bool
}

// SaveSnapshot writes a snapshot to the other slot and starts a new log. The error is apierror.DiskFailed.
func (store *Store) SaveSnapshot(snapshot []byte) error {
	// Until the new log is in place the old one does not hold everything; nothing may be appended to it.
	store.failed = true
	generation := store.generation + 1
	if err := store.folder.Put(slotName(generation), EncodeSlot(generation, snapshot)); err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "writing a slot")
	}
	store.generation = generation
	if err := store.startLog(); err != nil {
		return err
	}
	store.failed = false
	return nil
}

func (store *Store) startLog() error {
	header := EncodeLogHeader(store.generation)
	if err := store.folder.Put(newLogName, header); err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "beginning a log")
	}
	if err := store.folder.Rename(newLogName, logName); err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "putting a new log in place")
	}
	store.logLength = int64(len(header))
	return nil
}

// Append appends records to the log in one sync. After a failure nobody knows what the disk holds,
// so every later Append fails too until a Store.SaveSnapshot has started a new log. The error is
// apierror.DiskFailed.
func (store *Store) Append(records ...[]byte) error {
	if store.failed {
		return errEarlierWriteFailed()
	}
	size := 0
	for _, record := range records {
		size += recordHeaderLength + len(record)
	}
	content := make([]byte, 0, size)
	for _, record := range records {
		content = appendRecord(content, record)
	}
	if err := store.folder.Append(logName, content); err != nil {
		store.failed = true
		return apierror.Wrap(err, apierror.DiskFailed, "adding to the log")
	}
	store.logLength += int64(len(content))
	return nil
}

func errEarlierWriteFailed() error {
	return apierror.New(apierror.DiskFailed, "an earlier write failed")
}

// Scrub reads everything back and compares it with what must be there. A failure,
// apierror.DiskFailed, means that the disk no longer holds what was synced; as after a failed
// write, only a Store.SaveSnapshot may succeed then.
func (store *Store) Scrub() error {
	if store.failed {
		return errEarlierWriteFailed()
	}
	err := store.verifyLog()
	if err == nil {
		err = store.verifySlot()
	}
	if err != nil {
		store.failed = true
		return apierror.Wrap(err, apierror.DiskFailed, "reading back what was synced")
	}
	return nil
}

func (store *Store) verifyLog() error {
	content, _, err := store.folder.Read(logName)
	if err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "reading the log")
	}
	log, err := decodeLog(content)
	if err != nil {
		return err
	}
	if log.generation != store.generation || int64(log.length) != store.logLength {
		return apierror.New(apierror.DataLost, "the log is another or shorter than was written")
	}
	return nil
}

func (store *Store) verifySlot() error {
	content, found, err := store.folder.Read(slotName(store.generation))
	slot, valid := decodeSlot(content)
	if err != nil || !found || !valid || slot.generation != store.generation {
		return errSlotDamaged(store.generation)
	}
	return nil
}

func errSlotDamaged(generation uint64) error {
	return apierror.New(apierror.DataLost, "the slot of generation %d is damaged", generation)
}

// LogLength returns the length of the log in bytes.
func (store *Store) LogLength() int64 { return store.logLength }
