package snapshot

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"

	"wardtray/apierror"
)

// memoryFolder is a folder of which a crash keeps only what was synced, and perhaps a torn part of
// the write under way.
type memoryFolder struct {
	files map[string][]byte
	// crash counts down writes; at zero the write is torn and everything after it fails.
	crash  int
	random *rand.Rand
}

var errCrashed = fmt.Errorf("crashed")

func (folder *memoryFolder) dying() bool {
	folder.crash--
	return folder.crash < 0
}

func (folder *memoryFolder) Read(name string) ([]byte, bool, error) {
	content, found := folder.files[name]
	return append([]byte{}, content...), found, nil
}

func (folder *memoryFolder) Put(name string, content []byte) error {
	if folder.dying() {
		if folder.crash == -1 {
			folder.files[name] = append([]byte{}, content[:folder.random.Intn(len(content)+1)]...)
		}
		return errCrashed
	}
	folder.files[name] = append([]byte{}, content...)
	return nil
}

func (folder *memoryFolder) Append(name string, content []byte) error {
	if folder.dying() {
		if folder.crash == -1 {
			folder.files[name] = append(folder.files[name], content[:folder.random.Intn(len(content)+1)]...)
		}
		return errCrashed
	}
	folder.files[name] = append(folder.files[name], content...)
	return nil
}

func (folder *memoryFolder) Rename(from, to string) error {
	if folder.dying() {
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

// writeUntilCrash lets a store write until it fails; synced is the text that was told as synced, asked the text that it
// was asked to keep.
func writeUntilCrash(random *rand.Rand, store *Store, synced, asked string) (string, string) {
	for {
		if random.Intn(5) == 0 {
			if err := store.Replace([]byte("m" + asked)); err != nil {
				return synced, asked
			}
			synced = asked
			continue
		}
		record := string(rune('a' + random.Intn(26)))
		asked += record
		if err := store.Append([]byte(record)); err != nil {
			return synced, asked
		}
		synced = asked
	}
}

// A crash at any write, torn at any byte, gives back all that was synced and at most the write under way.
func TestCrashAnywhereKeepsWhatWasSynced(t *testing.T) {
	for seed := int64(0); seed < 400; seed++ {
		random := rand.New(rand.NewSource(seed))
		folder := &memoryFolder{files: map[string][]byte{}, crash: 1 << 30, random: random}
		store, _, err := Open(folder)
		if err != nil {
			t.Fatal(err)
		}
		// The whole history as one text: a memory is the text so far.
		synced, asked := "", ""
		if err := store.Replace([]byte("m")); err != nil {
			t.Fatal(err)
		}
		for incarnation := 0; incarnation < 4; incarnation++ {
			folder.crash = random.Intn(30)
			synced, asked = writeUntilCrash(random, store, synced, asked)
			folder.crash = 1 << 30
			var recovered Recovered
			store, recovered, err = Open(folder)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			text := string(recovered.Memory[1:]) + string(bytes.Join(recovered.Records, nil))
			if text != synced && text != asked {
				t.Fatalf("seed %d: synced %q, asked %q, got back %q", seed, synced, asked, text)
			}
			synced, asked = text, text
		}
	}
}

// Damage to synced bytes is answered with "no memory", or with exactly what was there; never with less.
func TestDamageIsNeverGuessedAround(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}, crash: 1 << 30}
	store, _, _ := Open(folder)
	for _, err := range []error{store.Replace([]byte("first")), store.Append([]byte("one")), store.Replace([]byte("second")),
		store.Append([]byte("two")), store.Append([]byte("three"))} {
		if err != nil {
			t.Fatal(err)
		}
	}
	damaged := 0
	for _, name := range []string{"slot.0", "log"} {
		whole := folder.files[name]
		last := len(whole)
		if name == "log" {
			// The last record can't be told from a torn write and may be cut.
			last -= len(EncodeRecord([]byte("three")))
		}
		for place := 0; place < last; place++ {
			folder.files[name] = append([]byte{}, whole...)
			folder.files[name][place] ^= 0x55
			_, recovered, err := Open(folder)
			if !apierror.Is(err, apierror.NoMemory) {
				t.Fatalf("%s byte %d: memory %q, records %q, failure %v", name, place, recovered.Memory, recovered.Records, err)
			}
			damaged++
		}
		folder.files[name] = whole
	}
	if damaged == 0 {
		t.Fatal("nothing was damaged")
	}
}

// Reading back notices damage to any byte while the process still knows what must be there.
func TestVerifyNoticesDamage(t *testing.T) {
	folder := &memoryFolder{files: map[string][]byte{}, crash: 1 << 30}
	store, _, _ := Open(folder)
	for _, err := range []error{store.Replace([]byte("memory")), store.Append([]byte("one")), store.Verify()} {
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"slot.1", "log"} {
		whole := folder.files[name]
		for place := range whole {
			folder.files[name] = append([]byte{}, whole...)
			folder.files[name][place] ^= 0x10
			if store.Verify() == nil {
				t.Fatalf("%s byte %d", name, place)
			}
			store.broken = false
		}
		folder.files[name] = whole
	}
	folder.files["log"][20] ^= 1
	if store.Verify() == nil || store.Append([]byte("two")) == nil {
		t.Fatal("a damaged log was added to")
	}
	if err := store.Replace([]byte("memory and one")); err != nil || store.Verify() != nil {
		t.Fatal("not mended by a whole memory")
	}
}

func FuzzDecodeSlot(fuzz *testing.F) {
	fuzz.Add(EncodeSlot(7, []byte("memory")))
	fuzz.Add([]byte("WTS1"))
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		generation, memory, whole := DecodeSlot(content)
		if whole && !bytes.Equal(EncodeSlot(generation, memory), content) {
			t.Fatal("a slot that reads back as another")
		}
	})
}

func FuzzDecodeLog(fuzz *testing.F) {
	fuzz.Add(append(EncodeLogHeader(3), EncodeRecord([]byte("record"))...))
	fuzz.Add(append(append(EncodeLogHeader(3), EncodeRecord([]byte("record"))...), 1, 2, 3))
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		generation, records, whole, err := DecodeLog(content)
		if err != nil {
			return
		}
		again := EncodeLogHeader(generation)
		for _, record := range records {
			again = append(again, EncodeRecord(record)...)
		}
		if !bytes.Equal(again, content[:whole]) {
			t.Fatal("a log that reads back as another")
		}
	})
}

// Whatever the files hold, a folder opens or says that it holds no memory; what it gave it gives again, and more can
// be written to it.
func FuzzOpen(fuzz *testing.F) {
	log := append(EncodeLogHeader(3), EncodeRecord([]byte("record"))...)
	fuzz.Add(EncodeSlot(2, []byte("memory")), EncodeSlot(3, []byte("newer")), log)
	fuzz.Add(EncodeSlot(4, []byte("newest")), EncodeSlot(3, []byte("newer")), log)
	fuzz.Add(EncodeSlot(2, []byte("memory")), []byte("WTS1"), append(EncodeLogHeader(2), 0, 0, 0, 1, 2))
	fuzz.Add([]byte{}, []byte{}, []byte{})
	fuzz.Fuzz(func(t *testing.T, first, second, log []byte) {
		folder := &memoryFolder{files: map[string][]byte{"slot.0": first, "slot.1": second, "log": log}, crash: 1 << 30}
		store, recovered, err := Open(folder)
		if err != nil {
			if !apierror.Is(err, apierror.NoMemory) {
				t.Fatal(err)
			}
			return
		}
		if err := store.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		_, again, err := Open(folder)
		if err != nil || !bytes.Equal(again.Memory, recovered.Memory) || len(again.Records) != len(recovered.Records)+1 ||
			!bytes.Equal(bytes.Join(again.Records, nil), append(bytes.Join(recovered.Records, nil), "more"...)) {
			t.Fatalf("%v: %v then %v", err, recovered, again)
		}
	})
}
