// Package snapshot keeps a memory on disk in two slots that are written in turn, with a short log
// between. A slot holds a whole memory under a generation; the log holds the records since. Every
// part carries a checksum. Reading back gives exactly what was synced, or says that there is no
// memory; it never guesses.
//
// The layout of a folder: slot.0 and slot.1, of which the even generations use the first, and
// log, which names the generation that it continues. A new slot is synced before the log that
// continues it takes the old log's place, so that one of the two pairs is whole at every moment.
//
// What is read back after a start may never have been synced: a process that was killed between a write and its
// sync leaves it in the machine's memory only, and the next loss of power takes it away. So Open syncs
// whatever it goes by before it gives it out, names included.
package snapshot

import (
	"encoding/binary"
	"hash/crc32"

	"wardtray/apierror"
)

// Folder is the little of a file system that a Store needs; the simulator brings its own. Each call syncs all
// that it changed before it ends without an error, the folder with its names included.
type Folder interface {
	// Read gives a whole file; found is false where there is none.
	Read(name string) (content []byte, found bool, err error)
	// Put replaces a file whole; a crash may leave it torn.
	Put(name string, content []byte) error
	// Append adds to a file that is there; a crash may leave a torn end.
	Append(name string, content []byte) error
	// Rename puts a file in another's place.
	Rename(from, to string) error
	// Truncate cuts a file to a length. Cut to the length that it has, it is only synced, and so is the folder.
	Truncate(name string, length int64) error
}

const (
	slotMagic = "WTS1"
	logMagic  = "WTL1"
	// slotHeader, logHeader and recordHeader are the lengths of what stands before a memory, all records and a record.
	slotHeader   = 20
	logHeader    = 16
	recordHeader = 8
	// MaximumRecord bounds one record, so that a torn length is never believed.
	MaximumRecord = 64 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

var slotNames = [2]string{"slot.0", "slot.1"}

// Store is an open folder. It is not safe for use by several goroutines at once.
type Store struct {
	folder     Folder
	generation uint64
	logged     int64
	broken     bool
}

// Recovered is what a folder held.
type Recovered struct {
	// Blank tells that the folder holds nothing at all.
	Blank   bool
	Memory  []byte
	Records [][]byte
	// Torn counts the bytes cut from the end of the log.
	Torn int
}

// slot is what one of the two slot files held.
type slot struct {
	name       string
	generation uint64
	memory     []byte
	whole      bool
	length     int64
}

// Open reads a folder back. A NoMemory fault means that files are there which can't be trusted. A
// DiskFailed fault means that the disk can't be brought to keep what was read; it may do so later.
func Open(folder Folder) (*Store, Recovered, error) {
	store := &Store{folder: folder}
	log, logFound, err := folder.Read("log")
	if err != nil {
		return nil, Recovered{}, apierror.Wrap(err, apierror.DiskFailed, "reading the log")
	}
	slots, err := readSlots(folder)
	if err != nil {
		return nil, Recovered{}, err
	}
	if !logFound {
		// A slot alone may be a first start cut short or a lost log; both are answered by a new identity.
		if slots[0].whole || slots[1].whole {
			return nil, Recovered{}, apierror.New(apierror.NoMemory, "a slot without its log")
		}
		return store, Recovered{Blank: true}, nil
	}
	generation, records, whole, err := DecodeLog(log)
	if err != nil {
		return nil, Recovered{}, err
	}
	newest := newestSlot(slots, generation)
	if newest == nil {
		return nil, Recovered{}, apierror.New(apierror.NoMemory, "the slot of generation %d is damaged", generation)
	}
	store.generation = newest.generation
	recovered := Recovered{Memory: newest.memory}
	if newest.generation > generation {
		// Its own log was not begun, so nobody knows whether it was synced.
		if err := folder.Truncate(newest.name, newest.length); err != nil {
			return nil, Recovered{}, apierror.Wrap(err, apierror.DiskFailed, "syncing %s", newest.name)
		}
		return store, recovered, store.beginLog()
	}
	recovered.Records, recovered.Torn, store.logged = records, len(log)-whole, int64(whole)
	if err := folder.Truncate("log", store.logged); err != nil {
		return nil, Recovered{}, apierror.Wrap(err, apierror.DiskFailed, "syncing the log without its torn end")
	}
	return store, recovered, nil
}

func readSlots(folder Folder) (slots [2]slot, err error) {
	for place, name := range slotNames {
		content, _, err := folder.Read(name)
		if err != nil {
			return slots, apierror.Wrap(err, apierror.DiskFailed, "reading %s", name)
		}
		slots[place] = slot{name: name, length: int64(len(content))}
		slots[place].generation, slots[place].memory, slots[place].whole = DecodeSlot(content)
	}
	return slots, nil
}

// newestSlot gives the whole slot that counts beside the log of a generation. A slot newer than the log holds all
// that the log says.
func newestSlot(slots [2]slot, generation uint64) (newest *slot) {
	for place := range slots {
		slot := &slots[place]
		if slot.whole && slot.generation >= generation && (newest == nil || slot.generation > newest.generation) {
			newest = slot
		}
	}
	return newest
}

// Replace writes a whole memory to the other slot and begins a new log.
func (store *Store) Replace(memory []byte) error {
	// Until the new log is in place the old one no longer says all; nothing may be added to it.
	store.broken = true
	generation := store.generation + 1
	if err := store.folder.Put(slotNames[generation%2], EncodeSlot(generation, memory)); err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "writing a slot")
	}
	store.generation = generation
	if err := store.beginLog(); err != nil {
		return err
	}
	store.broken = false
	return nil
}

func (store *Store) beginLog() error {
	header := EncodeLogHeader(store.generation)
	if err := store.folder.Put("log.new", header); err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "beginning a log")
	}
	if err := store.folder.Rename("log.new", "log"); err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "putting a new log in place")
	}
	store.logged = int64(len(header))
	return nil
}

// Append adds records to the log in one sync. After a failure nobody knows what the disk holds, so
// that every later Append fails too until a Replace has begun a new log.
func (store *Store) Append(records ...[]byte) error {
	if store.broken {
		return apierror.New(apierror.DiskFailed, "an earlier write failed")
	}
	size := 0
	for _, record := range records {
		size += recordHeader + len(record)
	}
	content := make([]byte, 0, size)
	for _, record := range records {
		content = appendRecord(content, record)
	}
	if err := store.folder.Append("log", content); err != nil {
		store.broken = true
		return apierror.Wrap(err, apierror.DiskFailed, "adding to the log")
	}
	store.logged += int64(len(content))
	return nil
}

// Verify reads everything back and compares it with what must be there. A failure means that the disk
// no longer holds what was synced; as after a failed write, only a Replace is taken then.
func (store *Store) Verify() error {
	if store.broken {
		return apierror.New(apierror.DiskFailed, "an earlier write failed")
	}
	generation, _, whole, err := store.readLog()
	if err == nil && (generation != store.generation || int64(whole) != store.logged) {
		err = apierror.New(apierror.NoMemory, "the log is another or shorter than was written")
	}
	if err == nil {
		content, found, reading := store.folder.Read(slotNames[store.generation%2])
		held, _, slotWhole := DecodeSlot(content)
		if reading != nil || !found || !slotWhole || held != store.generation {
			err = apierror.New(apierror.NoMemory, "the slot of generation %d is damaged", store.generation)
		}
	}
	if err != nil {
		store.broken = true
		return apierror.Wrap(err, apierror.DiskFailed, "reading back what was synced")
	}
	return nil
}

func (store *Store) readLog() (generation uint64, records [][]byte, whole int, err error) {
	content, _, err := store.folder.Read("log")
	if err != nil {
		return 0, nil, 0, apierror.Wrap(err, apierror.DiskFailed, "reading the log")
	}
	return DecodeLog(content)
}

// Logged tells how long the log has grown.
func (store *Store) Logged() int64 { return store.logged }

// EncodeSlot gives the bytes of a slot.
func EncodeSlot(generation uint64, memory []byte) []byte {
	content := append(make([]byte, 0, slotHeader+len(memory)), slotMagic...)
	content = content[:slotHeader]
	binary.BigEndian.PutUint64(content[4:], generation)
	binary.BigEndian.PutUint32(content[12:], uint32(len(memory)))
	content = append(content, memory...)
	sum := crc32.Checksum(content[:16], table)
	sum = crc32.Update(sum, table, memory)
	binary.BigEndian.PutUint32(content[16:], sum)
	return content
}

// DecodeSlot reads a slot; whole is false for anything torn, damaged or foreign.
func DecodeSlot(content []byte) (generation uint64, memory []byte, whole bool) {
	if len(content) < slotHeader || string(content[:4]) != slotMagic {
		return 0, nil, false
	}
	length := int(binary.BigEndian.Uint32(content[12:]))
	if length > MaximumRecord || len(content) != slotHeader+length {
		return 0, nil, false
	}
	sum := crc32.Checksum(content[:16], table)
	sum = crc32.Update(sum, table, content[slotHeader:])
	if sum != binary.BigEndian.Uint32(content[16:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(content[4:]), content[slotHeader:], true
}

// EncodeLogHeader gives the first bytes of a log.
func EncodeLogHeader(generation uint64) []byte {
	header := append([]byte(logMagic), make([]byte, 12)...)
	binary.BigEndian.PutUint64(header[4:], generation)
	binary.BigEndian.PutUint32(header[12:], crc32.Checksum(header[:12], table))
	return header
}

// EncodeRecord frames one record of a log.
func EncodeRecord(record []byte) []byte {
	return appendRecord(make([]byte, 0, recordHeader+len(record)), record)
}

func appendRecord(content, record []byte) []byte {
	length := binary.BigEndian.AppendUint32(nil, uint32(len(record)))
	sum := crc32.Update(crc32.Checksum(length, table), table, record)
	return append(binary.BigEndian.AppendUint32(append(content, length...), sum), record...)
}

// DecodeLog reads a log. whole is the length up to which it can be believed: what follows was
// never synced. Damage before the end is a NoMemory fault.
func DecodeLog(content []byte) (generation uint64, records [][]byte, whole int, err error) {
	if len(content) < logHeader || string(content[:4]) != logMagic || crc32.Checksum(content[:12], table) != binary.BigEndian.Uint32(content[12:]) {
		return 0, nil, 0, apierror.New(apierror.NoMemory, "the log's header is damaged")
	}
	generation = binary.BigEndian.Uint64(content[4:])
	whole = logHeader
	for whole < len(content) {
		record, size := decodeRecord(content[whole:])
		if size == 0 {
			// A torn write leaves nothing whole behind it; a whole record after a bad one means that synced bytes were damaged.
			if wholeRecordIn(content[whole+1:]) {
				return 0, nil, 0, apierror.New(apierror.NoMemory, "the log is damaged at byte %d", whole)
			}
			return generation, records, whole, nil
		}
		records = append(records, record)
		whole += size
	}
	return generation, records, whole, nil
}

func decodeRecord(content []byte) (record []byte, size int) {
	if len(content) < recordHeader {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(content))
	// Nothing writes an empty record, while a run of zeros left by a torn write would read as many.
	if length == 0 || length > MaximumRecord || len(content) < recordHeader+length {
		return nil, 0
	}
	record = content[recordHeader : recordHeader+length]
	sum := crc32.Checksum(content[:4], table)
	if crc32.Update(sum, table, record) != binary.BigEndian.Uint32(content[4:]) {
		return nil, 0
	}
	return record, recordHeader + length
}

func wholeRecordIn(content []byte) bool {
	for start := range content {
		if _, size := decodeRecord(content[start:]); size > 0 {
			return true
		}
	}
	return false
}
