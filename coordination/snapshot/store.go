// Package snapshot stores the state of a process on disk: a snapshot in one of two slots that are
// written in turn, and a write-ahead log of the records since. Slots, log headers and records carry
// checksums. Recovery returns exactly what was synced or reports that the state can't be trusted;
// it never returns a partial state.
//
// # Layout
//
// A folder holds slot.0 for even generations, slot.1 for odd ones, and log, whose header holds the
// generation of the snapshot that it continues. A new slot is synced before the log that continues
// it replaces the old log, so that one of the two pairs of slot and log is complete at every
// moment. Snapshots and records are opaque bytes.
//
// # Contract
//
// At most one Store at a time has a folder open. Its caller calls Open once, then Store.Append for
// records and Store.SaveSnapshot for a snapshot that contains all records before it. Everything
// written by a call that returned without an error is recovered after any later crash. After an
// error only Store.SaveSnapshot may succeed. Store.Scrub detects when the disk no longer holds what
// was synced.
//
// A crash may lose or keep each write that was not synced, tear it at any byte, and lose or keep
// each name change (creation, rename, removal) since the folder was last synced. What is read after
// a start may never have been synced: if a process is killed between a write and its sync, the data
// is only in the page cache, and the next power loss loses it. So Open syncs everything that it
// returns, including file names. Synced bytes may be damaged. Checksums detect that, except that
// damage to the last record of a log can't be distinguished from a torn write.
package snapshot

import "wardtray/apierror"

// Folder holds the file operations that a Store needs; the simulator has its own implementation. A
// call that returns without an error has synced everything that it changed, including the names in
// the folder.
type Folder interface {
	// Read returns the content of a file; found is false if it does not exist.
	Read(name string) (content []byte, found bool, err error)
	// Put creates a file or replaces its complete content; a crash may leave the file torn.
	Put(name string, content []byte) error
	// Append appends to an existing file; a crash may leave a torn end.
	Append(name string, content []byte) error
	// Rename renames a file, replacing any file of the new name.
	Rename(from, to string) error
	// Truncate truncates a file to a length. If it has that length already, the file and the folder
	// are still synced.
	Truncate(name string, length int64) error
}

const (
	logName = "log"
	// newLogName is the name of a new log until it replaces the current one.
	newLogName = "log.new"
)

var slotNames = [2]string{"slot.0", "slot.1"}

// slotName returns the file name of the slot that a generation uses.
func slotName(generation uint64) string { return slotNames[generation%uint64(len(slotNames))] }

// Store is an open folder. It is not safe for concurrent use.
type Store struct {
	folder     Folder
	generation uint64
	logLength  int64
	// failed is set after a failed write, since the content of the disk is unknown then, until a new
	// slot and log are synced.
	failed bool
}

// SaveSnapshot writes a snapshot to the other slot and starts a new log. The error is apierror.DiskFailed.
func (store *Store) SaveSnapshot(snapshot []byte) error {
	// From here until the new log is in place, no record may be appended to the old log: once the new slot is written,
	// recovery ignores the old log.
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
		return apierror.Wrap(err, apierror.DiskFailed, "creating a new log")
	}
	if err := store.folder.Rename(newLogName, logName); err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "replacing the log")
	}
	store.logLength = int64(len(header))
	return nil
}

// Append appends records to the log with one sync. After a failure the content of the disk is unknown,
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
		return apierror.Wrap(err, apierror.DiskFailed, "appending to the log")
	}
	store.logLength += int64(len(content))
	return nil
}

func errEarlierWriteFailed() error {
	return apierror.New(apierror.DiskFailed, "an earlier write failed")
}

// Scrub reads the log and the current slot and checks their checksums, generation and length. The
// error, apierror.DiskFailed, means that the disk no longer holds what was synced; as after a failed
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
		return apierror.Wrap(err, apierror.DiskFailed, "verifying the synced state")
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
		return apierror.New(apierror.DataLost, "the log's generation or length differs from what was written")
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
