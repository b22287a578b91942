package modelcheck

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"wardtray/config"
)

// digest is a running 64-bit hash. With a million states the chance that any two share one is below 1 in 30 million.
type digest uint64

const digestSeed digest = 0x9e3779b97f4a7c15

// add adds one number, mixed by the final steps of splitmix64.
func (hash *digest) add(value uint64) {
	mixed := uint64(*hash) ^ (value + 0x9e3779b97f4a7c15)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	*hash = digest(mixed ^ mixed>>31)
}

func (hash *digest) addText(text string) {
	hash.add(uint64(len(text)))
	for len(text) >= 8 {
		hash.add(uint64(text[0]) | uint64(text[1])<<8 | uint64(text[2])<<16 | uint64(text[3])<<24 |
			uint64(text[4])<<32 | uint64(text[5])<<40 | uint64(text[6])<<48 | uint64(text[7])<<56)
		text = text[8:]
	}
	last := uint64(0)
	for index := range len(text) {
		last = last<<8 | uint64(text[index])
	}
	hash.add(last)
}

// addTime adds a time relative to now, so that equal states at different times have equal digests.
func (hash *digest) addTime(now, at time.Time) {
	if at.IsZero() {
		hash.add(0)
		return
	}
	hash.add(1)
	hash.add(uint64(at.Sub(now)))
}

func digestOf(content string) uint64 {
	hash := digestSeed
	hash.addText(content)
	return uint64(hash)
}

// walker computes the digest of everything that a state machine holds, including unexported fields, by reflection. A
// hand-written method could omit a field that was added later, and so merge different states. The walker skips
// functions, counters for display and caches of a document.
type walker struct {
	now time.Time
	// known are the digests of the pointees walked so far; open are those that are being walked.
	known map[pointee]uint64
	open  map[pointee]bool
}

// pointee identifies what a pointer points to. A struct and its first field share an address, so the type is included.
type pointee struct {
	address uintptr
	kind    reflect.Type
}

func newWalker(now time.Time) *walker {
	return &walker{now: now, known: map[pointee]uint64{}, open: map[pointee]bool{}}
}

var (
	timeType    = reflect.TypeFor[time.Time]()
	catalogType = reflect.TypeFor[config.Catalog]()
)

// kindWalkers add the values of each kind to a digest. Functions and channels add nothing: they hold no state that is
// not in another field.
var kindWalkers [reflect.UnsafePointer + 1]func(walker *walker, hash *digest, value reflect.Value)

func init() {
	register := func(walk func(walker *walker, hash *digest, value reflect.Value), kinds ...reflect.Kind) {
		for _, kind := range kinds {
			kindWalkers[kind] = walk
		}
	}
	register(func(_ *walker, hash *digest, value reflect.Value) {
		if value.Bool() {
			hash.add(1)
		}
	}, reflect.Bool)
	register(func(_ *walker, hash *digest, value reflect.Value) { hash.add(uint64(value.Int())) },
		reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64)
	register(func(_ *walker, hash *digest, value reflect.Value) { hash.add(value.Uint()) },
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr)
	register(func(_ *walker, hash *digest, value reflect.Value) { hash.addText(fmt.Sprint(value.Float())) },
		reflect.Float32, reflect.Float64)
	register(func(_ *walker, hash *digest, value reflect.Value) { hash.addText(value.String()) }, reflect.String)
	register(func(_ *walker, _ *digest, _ reflect.Value) {}, reflect.Func, reflect.Chan, reflect.UnsafePointer)
	register(func(walker *walker, hash *digest, value reflect.Value) { hash.add(walker.walkPointer(value)) },
		reflect.Pointer)
	register((*walker).walkInterface, reflect.Interface)
	register((*walker).walkStruct, reflect.Struct)
	register((*walker).walkList, reflect.Slice, reflect.Array)
	register((*walker).walkMap, reflect.Map)
}

// walk returns the digest of a value.
func (walker *walker) walk(value reflect.Value) uint64 {
	hash := digestSeed
	walk := kindWalkers[value.Kind()]
	if walk == nil {
		panic("the fingerprint does not support kind " + value.Kind().String())
	}
	walk(walker, &hash, value)
	return uint64(hash)
}

func (walker *walker) walkInterface(hash *digest, value reflect.Value) {
	if !value.IsNil() {
		hash.addText(value.Elem().Type().String())
		hash.add(walker.walk(value.Elem()))
	}
}

func (walker *walker) walkPointer(value reflect.Value) uint64 {
	if value.IsNil() || value.Type().Elem() == catalogType {
		return 0
	}
	pointed := pointee{address: value.Pointer(), kind: value.Type().Elem()}
	if known, found := walker.known[pointed]; found {
		return known
	}
	if walker.open[pointed] {
		panic("the fingerprint does not support cyclic pointers: " + value.Type().String())
	}
	walker.open[pointed] = true
	hash := walker.walk(value.Elem())
	delete(walker.open, pointed)
	walker.known[pointed] = hash
	return hash
}

func (walker *walker) walkStruct(hash *digest, value reflect.Value) {
	if value.Type() == timeType {
		hash.addTime(walker.now, timeOf(value))
		return
	}
	for _, index := range walkedFields(value.Type()) {
		hash.add(walker.walk(value.Field(index)))
	}
}

// walkedFieldsByType caches the indices of the fields to walk by struct type, since determining them takes longer than
// walking them.
var walkedFieldsByType sync.Map

func walkedFields(kind reflect.Type) []int {
	if stored, found := walkedFieldsByType.Load(kind); found {
		if known, isList := stored.([]int); isList {
			return known
		}
	}
	var walked []int
	for index := range kind.NumField() {
		if !skipped(kind.Field(index)) {
			walked = append(walked, index)
		}
	}
	walkedFieldsByType.Store(kind, walked)
	return walked
}

// skipped reports whether a field has no influence on what its machine does next.
func skipped(field reflect.StructField) bool {
	return field.Name == "sizeCache" || strings.Contains(field.Type.PkgPath(), "google.golang.org/protobuf") ||
		field.Type.Name() == "Counters" || field.Type.Kind() == reflect.Map && field.Type.Elem().Kind() == reflect.Func
}

// timeOf reads a time from a field that may be private. The model's times hold no monotonic reading.
func timeOf(value reflect.Value) time.Time {
	const nanoseconds = 1<<30 - 1
	// A time's seconds count from the year 1.
	const unixToInternal = 62135596800
	wall, seconds := value.Field(0).Uint(), value.Field(1).Int()
	if wall == 0 && seconds == 0 {
		return time.Time{}
	}
	return time.Unix(seconds-unixToInternal, int64(wall&nanoseconds))
}

func (walker *walker) walkList(hash *digest, value reflect.Value) {
	hash.add(uint64(value.Len()))
	if value.Type().Elem().Kind() == reflect.Uint8 && value.Kind() == reflect.Slice {
		hash.addText(string(value.Bytes()))
		return
	}
	for index := range value.Len() {
		hash.add(walker.walk(value.Index(index)))
	}
}

// walkMap adds a map's entries in the order of their digests, since the iteration order of maps is undefined.
func (walker *walker) walkMap(hash *digest, value reflect.Value) {
	entries := make([]uint64, 0, value.Len())
	for iterator := value.MapRange(); iterator.Next(); {
		entry := digestSeed
		entry.add(walker.walk(iterator.Key()))
		entry.add(walker.walk(iterator.Value()))
		entries = append(entries, uint64(entry))
	}
	hash.addSorted(entries)
}

// addSorted adds a set of digests. It sorts the slice.
func (hash *digest) addSorted(digests []uint64) {
	slices.Sort(digests)
	hash.add(uint64(len(digests)))
	for _, one := range digests {
		hash.add(one)
	}
}

// source is a random source whose state is one number, which the fingerprint can read.
type source struct{ state uint64 }

// newRandom returns a random number generator for one incarnation of a machine.
func newRandom(name string, incarnation int) *rand.Rand {
	hash := digestSeed
	hash.addText(name)
	hash.add(uint64(incarnation))
	return rand.New(&source{state: uint64(hash)})
}

// Uint64 implements splitmix64.
func (source *source) Uint64() uint64 {
	source.state += 0x9e3779b97f4a7c15
	mixed := source.state
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// Int63 returns the upper 63 bits of Uint64.
func (source *source) Int63() int64 { return int64(source.Uint64() >> 1) }

// Seed sets the state.
func (source *source) Seed(seed int64) { source.state = uint64(seed) }
