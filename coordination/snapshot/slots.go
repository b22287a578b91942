// Package slots keeps a memory on disk in two slots that are written in turn, with a short log
// between. A slot holds a whole memory under a generation; the log holds the records since. Every
// part carries a checksum. Reading back gives exactly what was synced, or says that there is no
// memory; it never guesses.
//
// The layout of a folder: slot.0 and slot.1, of which the even generations use the first, and
// log, which names the generation that it continues. A new slot is synced before the log that
// continues it takes the old log's place, so that one of the two pairs is whole at every moment.
package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"wardtray/process/fault"
)

// Folder is the little of a file system that slots needs; the simulator brings its own.
type Folder interface {
	// Read gives a whole file; found is false where there is none.
	Read(name string) (content []byte, found bool, err error)
	// Put replaces a file whole and syncs it; a crash may leave it torn.
	Put(name string, content []byte) error
	// Append adds to a file and syncs it; a crash may leave a torn end.
	Append(name string, content []byte) error
	// Rename puts a file in another's place, and syncs the folder.
	Rename(from, to string) error
	// Truncate cuts a file to a length and syncs it.
	Truncate(name string, length int64) error
}

const (
	slotMagic = "WTS1"
	logMagic  = "WTL1"
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

// Open reads a folder back. A NoMemory fault means that files are there which can't be trusted.
func Open(folder Folder) (*Store, Recovered, error) {
	store := &Store{folder: folder}
	log, logFound, err := folder.Read("log")
	if err != nil {
		return nil, Recovered{}, fault.Wrap(err, fault.DiskFailed, "reading the log")
	}
	var memories [2][]byte
	var generations [2]uint64
	var slotFound, slotWhole [2]bool
	for place, name := range slotNames {
		content, found, err := folder.Read(name)
		if err != nil {
			return nil, Recovered{}, fault.Wrap(err, fault.DiskFailed, "reading %s", name)
		}
		slotFound[place] = found
		if found {
			generations[place], memories[place], slotWhole[place] = DecodeSlot(content)
		}
	}
	if !logFound {
		// A slot alone may be a first start cut short or a lost log; both are answered by a new identity.
		if slotWhole[0] || slotWhole[1] {
			return nil, Recovered{}, fault.New(fault.NoMemory, "a slot without its log")
		}
		return store, Recovered{Blank: true}, nil
	}
	generation, records, whole, err := DecodeLog(log)
	if err != nil {
		return nil, Recovered{}, err
	}
	newest := -1
	for place := range slotNames {
		// A slot newer than the log holds all that the log says and was synced before its own log was made.
		if slotWhole[place] && generations[place] >= generation && (newest < 0 || generations[place] > generations[newest]) {
			newest = place
		}
	}
	if newest < 0 {
		return nil, Recovered{}, fault.New(fault.NoMemory, "the slot of generation %d is damaged", generation)
	}
	store.generation = generations[newest]
	recovered := Recovered{Memory: memories[newest]}
	if generations[newest] == generation {
		recovered.Records = records
		recovered.Torn = len(log) - whole
		if recovered.Torn > 0 {
			if err := folder.Truncate("log", int64(whole)); err != nil {
				return nil, Recovered{}, fault.Wrap(err, fault.DiskFailed, "cutting the torn end of the log")
			}
		}
		store.logged = int64(whole)
		return store, recovered, nil
	}
	return store, recovered, store.beginLog()
}

// Replace writes a whole memory to the other slot and begins a new log.
func (store *Store) Replace(memory []byte) error {
	// Until the new log is in place the old one no longer says all; nothing may be added to it.
	store.broken = true
	generation := store.generation + 1
	if err := store.folder.Put(slotNames[generation%2], EncodeSlot(generation, memory)); err != nil {
		return fault.Wrap(err, fault.DiskFailed, "writing a slot")
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
		return fault.Wrap(err, fault.DiskFailed, "beginning a log")
	}
	if err := store.folder.Rename("log.new", "log"); err != nil {
		return fault.Wrap(err, fault.DiskFailed, "putting a new log in place")
	}
	store.logged = int64(len(header))
	return nil
}

// Append adds records to the log in one sync. After a failure nobody knows what the disk holds, so
// that every later Append fails too until a Replace has begun a new log.
func (store *Store) Append(records ...[]byte) error {
	if store.broken {
		return fault.New(fault.DiskFailed, "an earlier write failed")
	}
	var content []byte
	for _, record := range records {
		content = append(content, EncodeRecord(record)...)
	}
	if err := store.folder.Append("log", content); err != nil {
		store.broken = true
		return fault.Wrap(err, fault.DiskFailed, "adding to the log")
	}
	store.logged += int64(len(content))
	return nil
}

// Verify reads everything back and compares it with what must be there. A failure means that the disk
// no longer holds what was synced; as after a failed write, only a Replace is taken then.
func (store *Store) Verify() error {
	if store.broken {
		return fault.New(fault.DiskFailed, "an earlier write failed")
	}
	generation, _, whole, err := store.readLog()
	if err == nil && (generation != store.generation || int64(whole) != store.logged) {
		err = fault.New(fault.NoMemory, "the log is another or shorter than was written")
	}
	if err == nil {
		content, found, reading := store.folder.Read(slotNames[store.generation%2])
		held, _, slotWhole := DecodeSlot(content)
		if reading != nil || !found || !slotWhole || held != store.generation {
			err = fault.New(fault.NoMemory, "the slot of generation %d is damaged", store.generation)
		}
	}
	if err != nil {
		store.broken = true
		return fault.Wrap(err, fault.DiskFailed, "reading back what was synced")
	}
	return nil
}

func (store *Store) readLog() (generation uint64, records [][]byte, whole int, err error) {
	content, _, err := store.folder.Read("log")
	if err != nil {
		return 0, nil, 0, fault.Wrap(err, fault.DiskFailed, "reading the log")
	}
	return DecodeLog(content)
}

// Logged tells how long the log has grown.
func (store *Store) Logged() int64 { return store.logged }

// EncodeSlot gives the bytes of a slot.
func EncodeSlot(generation uint64, memory []byte) []byte {
	content := append([]byte(slotMagic), make([]byte, 16)...)
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
	if len(content) < 20 || string(content[:4]) != slotMagic {
		return 0, nil, false
	}
	length := int(binary.BigEndian.Uint32(content[12:]))
	if length > MaximumRecord || len(content) != 20+length {
		return 0, nil, false
	}
	sum := crc32.Checksum(content[:16], table)
	sum = crc32.Update(sum, table, content[20:])
	if sum != binary.BigEndian.Uint32(content[16:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(content[4:]), content[20:], true
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
	content := make([]byte, 8, 8+len(record))
	binary.BigEndian.PutUint32(content, uint32(len(record)))
	content = append(content, record...)
	sum := crc32.Checksum(content[:4], table)
	binary.BigEndian.PutUint32(content[4:], crc32.Update(sum, table, record))
	return content
}

// DecodeLog reads a log. whole is the length up to which it can be believed: what follows was
// never synced. Damage before the end is a NoMemory fault.
func DecodeLog(content []byte) (generation uint64, records [][]byte, whole int, err error) {
	if len(content) < 16 || string(content[:4]) != logMagic || crc32.Checksum(content[:12], table) != binary.BigEndian.Uint32(content[12:]) {
		return 0, nil, 0, fault.New(fault.NoMemory, "the log's header is damaged")
	}
	generation = binary.BigEndian.Uint64(content[4:])
	whole = 16
	for whole < len(content) {
		record, size := decodeRecord(content[whole:])
		if size == 0 {
			// A torn write leaves nothing whole behind it; a whole record after a bad one means that synced bytes were damaged.
			if wholeRecordIn(content[whole+1:]) {
				return 0, nil, 0, fault.New(fault.NoMemory, "the log is damaged at byte %d", whole)
			}
			return generation, records, whole, nil
		}
		records = append(records, record)
		whole += size
	}
	return generation, records, whole, nil
}

func decodeRecord(content []byte) (record []byte, size int) {
	if len(content) < 8 {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(content))
	// Nothing writes an empty record, while a run of zeros left by a torn write would read as many.
	if length == 0 || length > MaximumRecord || len(content) < 8+length {
		return nil, 0
	}
	record = content[8 : 8+length]
	sum := crc32.Checksum(content[:4], table)
	if crc32.Update(sum, table, record) != binary.BigEndian.Uint32(content[4:]) {
		return nil, 0
	}
	return record, 8 + length
}

func wholeRecordIn(content []byte) bool {
	for start := range content {
		if _, size := decodeRecord(content[start:]); size > 0 {
			return true
		}
	}
	return false
}

// Directory is a folder of the machine's own disk.
type Directory string

// Read gives a whole file.
func (directory Directory) Read(name string) ([]byte, bool, error) {
	content, err := os.ReadFile(filepath.Join(string(directory), name))
	if os.IsNotExist(err) {
		return nil, false, nil
	}
	return content, err == nil, err
}

// Put replaces a file and syncs it.
func (directory Directory) Put(name string, content []byte) error {
	return directory.write(name, os.O_TRUNC, content)
}

// Append adds to a file and syncs it.
func (directory Directory) Append(name string, content []byte) error {
	return directory.write(name, os.O_APPEND, content)
}

func (directory Directory) write(name string, mode int, content []byte) error {
	file, err := os.OpenFile(filepath.Join(string(directory), name), os.O_CREATE|os.O_WRONLY|mode, 0o640)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err == nil && mode == os.O_TRUNC {
		return directory.sync()
	}
	return err
}

// Rename puts a file in another's place and syncs the folder.
func (directory Directory) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(string(directory), from), filepath.Join(string(directory), to)); err != nil {
		return err
	}
	return directory.sync()
}

// Truncate cuts a file.
func (directory Directory) Truncate(name string, length int64) error {
	file, err := os.OpenFile(filepath.Join(string(directory), name), os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	err = file.Truncate(length)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	return err
}

// SetAside moves a memory that can't be trusted out of the way, keeping it for whoever wants to look.
func (directory Directory) SetAside(mark string) error {
	for _, name := range []string{"slot.0", "slot.1", "log", "log.new"} {
		err := os.Rename(filepath.Join(string(directory), name), filepath.Join(string(directory), fmt.Sprintf("%s.lost-%s", name, mark)))
		if err != nil && !os.IsNotExist(err) {
			return err
		}
	}
	return directory.sync()
}

func (directory Directory) sync() error {
	file, err := os.Open(string(directory))
	if err != nil {
		return err
	}
	err = file.Sync()
	if closing := file.Close(); err == nil {
		err = closing
	}
	return err
}
