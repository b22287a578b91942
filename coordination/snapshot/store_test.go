package snapshot

import (
	"bytes"
	"errors"
	"math/rand"
	"slices"
	"testing"

	"wardtray/apierror"
)

// memoryFolder is a Folder in memory. A crash keeps what was synced, and possibly a torn part of the write in progress.
type memoryFolder struct {
	files map[string][]byte
	// writesUntilCrash is the number of writes that succeed. The next one is torn, and every later one fails.
	writesUntilCrash int
	random           *rand.Rand
}

// noCrash is a number of writes that no test reaches.
const noCrash = 1 << 30

var errCrashed = errors.New("crashed")

// crashes counts a write and reports whether it fails.
func (folder *memoryFolder) crashes() bool {
	folder.writesUntilCrash--
	return folder.writesUntilCrash < 0
}

func (folder *memoryFolder) Read(name string) ([]byte, bool, error) {
	content, found := folder.files[name]
	return append([]byte{}, content...), found, nil
}

func (folder *memoryFolder) Put(name string, content []byte) error {
	if folder.crashes() {
		if folder.writesUntilCrash == -1 {
			folder.files[name] = append([]byte{}, content[:folder.random.Intn(len(content)+1)]...)
		}
		return errCrashed
	}
	folder.files[name] = append([]byte{}, content...)
	return nil
}

func (folder *memoryFolder) Append(name string, content []byte) error {
	if folder.crashes() {
		if folder.writesUntilCrash == -1 {
			folder.files[name] = append(folder.files[name], content[:folder.random.Intn(len(content)+1)]...)
		}
		return errCrashed
	}
	folder.files[name] = append(folder.files[name], content...)
	return nil
}

func (folder *memoryFolder) Rename(from, to string) error {
	if folder.crashes() {
		return errCrashed
	}
	folder.files[to] = folder.files[from]
	delete(folder.files, from)
	return nil
}

func (folder *memoryFolder) Truncate(name string, length int64) error {
	folder.files[name] = folder.files[name][:length]
	return nil
}

// writeUntilCrash makes a store write until it fails. It returns the text that the store reported as synced and the
// text that it was requested to write.
func writeUntilCrash(random *rand.Rand, store *Store, synced, requested string) (string, string) {
	for {
		if random.Intn(5) == 0 {
			if err := store.SaveSnapshot([]byte("m" + requested)); err != nil {
				return synced, requested
			}
			synced = requested
			continue
		}
		record := string(rune('a' + random.Intn(26)))
		requested += record
		if err := store.Append([]byte(record)); err != nil {
			return synced, requested
		}
		synced = requested
	}
}

// After a crash at any write, torn at any byte, everything that was synced must be recovered, and at most the write in
// progress besides.
func TestCrashAnywhereKeepsWhatWasSynced(t *testing.T) {
	for seed := int64(0); seed < 400; seed++ {
		random := rand.New(rand.NewSource(seed))
		folder := &memoryFolder{files: map[string][]byte{}, writesUntilCrash: noCrash, random: random}
		store, _, err := Open(folder)
		if err != nil {
			t.Fatal(err)
		}
		// The texts are the complete history: a snapshot contains the text so far.
		synced, requested := "", ""
		if err := store.SaveSnapshot([]byte("m")); err != nil {
			t.Fatal(err)
		}
		for incarnation := 0; incarnation < 4; incarnation++ {
			folder.writesUntilCrash = random.Intn(30)
			synced, requested = writeUntilCrash(random, store, synced, requested)
			folder.writesUntilCrash = noCrash
			var recovered Recovered
			store, recovered, err = Open(folder)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			text := string(recovered.Snapshot[1:]) + string(bytes.Join(recovered.Records, nil))
			if text != synced && text != requested {
				t.Fatalf("seed %d: synced %q, requested %q, recovered %q", seed, synced, requested, text)
			}
			synced, requested = text, text
		}
	}
}

// Damage to synced bytes must be reported as apierror.DataLost. A partial state must never be recovered.
func TestDamageIsNeverGuessedAround(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}, writesUntilCrash: noCrash}
	store, _, _ := Open(folder)
	for _, err := range []error{
		store.SaveSnapshot([]byte("first")), store.Append([]byte("one")),
		store.SaveSnapshot([]byte("second")), store.Append([]byte("two")), store.Append([]byte("three")),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	damaged := 0
	for _, name := range []string{"slot.0", "log"} {
		intact := folder.files[name]
		last := len(intact)
		if name == "log" {
			// Damage to the last record can't be distinguished from a torn write, so that record may be dropped.
			last -= len(EncodeRecord([]byte("three")))
		}
		for index := 0; index < last; index++ {
			folder.files[name] = append([]byte{}, intact...)
			folder.files[name][index] ^= 0x55
			_, recovered, err := Open(folder)
			if !apierror.Is(err, apierror.DataLost) {
				t.Fatalf("%s byte %d: snapshot %q, records %q, error %v",
					name, index, recovered.Snapshot, recovered.Records, err)
			}
			damaged++
		}
		folder.files[name] = intact
	}
	if damaged == 0 {
		t.Fatal("nothing was damaged")
	}
}

// Scrub must detect damage to any byte of the log and the current slot, the last record included, since the process
// knows the length of the log. After damage only SaveSnapshot may succeed.
func TestVerifyNoticesDamage(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}, writesUntilCrash: noCrash}
	store, _, _ := Open(folder)
	for _, err := range []error{store.SaveSnapshot([]byte("memory")), store.Append([]byte("one")), store.Scrub()} {
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"slot.1", "log"} {
		intact := folder.files[name]
		for index := range intact {
			folder.files[name] = append([]byte{}, intact...)
			folder.files[name][index] ^= 0x10
			if store.Scrub() == nil {
				t.Fatalf("Scrub did not detect damage to %s byte %d", name, index)
			}
			store.failed = false
		}
		folder.files[name] = intact
	}
	folder.files["log"][20] ^= 1
	if store.Scrub() == nil || store.Append([]byte("two")) == nil {
		t.Fatal("damage to the log was not detected, or the damaged log was appended to")
	}
	if err := store.SaveSnapshot([]byte("memory and one")); err != nil || store.Scrub() != nil {
		t.Fatal("a new snapshot did not repair the damage")
	}
}

// Whatever the files hold, Open must succeed or return apierror.DataLost. A recovered state must accept further records
// and be recovered again together with them.
func FuzzOpen(f *testing.F) {
	log := append(EncodeLogHeader(3), EncodeRecord([]byte("record"))...)
	f.Add(EncodeSlot(2, []byte("memory")), EncodeSlot(3, []byte("newer")), log)
	f.Add(EncodeSlot(4, []byte("newest")), EncodeSlot(3, []byte("newer")), log)
	f.Add(EncodeSlot(2, []byte("memory")), []byte("WTS1"), append(EncodeLogHeader(2), 0, 0, 0, 1, 2))
	f.Add([]byte{}, []byte{}, []byte{})
	f.Fuzz(func(t *testing.T, first, second, log []byte) {
		files := map[string][]byte{"slot.0": first, "slot.1": second, "log": log}
		folder := &memoryFolder{files: files, writesUntilCrash: noCrash}
		store, recovered, err := Open(folder)
		if err != nil {
			if !apierror.Is(err, apierror.DataLost) {
				t.Fatal(err)
			}
			return
		}
		if err := store.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		_, again, err := Open(folder)
		if err != nil || !bytes.Equal(again.Snapshot, recovered.Snapshot) {
			t.Fatalf("error %v: recovered %v, then %v", err, recovered, again)
		}
		want := append(slices.Clone(recovered.Records), []byte("more"))
		if !slices.EqualFunc(again.Records, want, bytes.Equal) {
			t.Fatalf("recovered records %q, then after one more %q", recovered.Records, again.Records)
		}
	})
}
