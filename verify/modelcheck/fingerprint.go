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

// add folds in one number (the finishing steps of splitmix64).
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

// addTime folds in a time as a distance from now, so that the same situation later has the same digest.
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

// walker folds everything that a state machine holds into a digest, private fields included, by reflection. Why: the
// machines' fields change often, and one that a hand-written method forgot would merge states that differ. It leaves
// out functions, counters for display and what only caches a document.
type walker struct {
	now time.Time
	// known are the digests of what pointers of this walk point to; open are those being walked.
	known map[target]uint64
	open  map[target]bool
}

// target is what a pointer points to. A struct and its first field share an address, so the type belongs to it.
type target struct {
	address uintptr
	kind    reflect.Type
}

func newWalker(now time.Time) *walker {
	return &walker{now: now, known: map[target]uint64{}, open: map[target]bool{}}
}

var (
	timeType    = reflect.TypeFor[time.Time]()
	catalogType = reflect.TypeFor[config.Catalog]()
)

// kindWalkers fold in values of each kind. Functions and channels say nothing that another field does not.
var kindWalkers [reflect.UnsafePointer + 1]func(walker *walker, hash *digest, value reflect.Value)

func init() {
	enter := func(walk func(walker *walker, hash *digest, value reflect.Value), kinds ...reflect.Kind) {
		for _, kind := range kinds {
			kindWalkers[kind] = walk
		}
	}
	enter(func(_ *walker, hash *digest, value reflect.Value) {
		if value.Bool() {
			hash.add(1)
		}
	}, reflect.Bool)
	enter(func(_ *walker, hash *digest, value reflect.Value) { hash.add(uint64(value.Int())) },
		reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64)
	enter(func(_ *walker, hash *digest, value reflect.Value) { hash.add(value.Uint()) },
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr)
	enter(func(_ *walker, hash *digest, value reflect.Value) { hash.addText(fmt.Sprint(value.Float())) },
		reflect.Float32, reflect.Float64)
	enter(func(_ *walker, hash *digest, value reflect.Value) { hash.addText(value.String()) }, reflect.String)
	enter(func(_ *walker, _ *digest, _ reflect.Value) {}, reflect.Func, reflect.Chan, reflect.UnsafePointer)
	enter(func(walker *walker, hash *digest, value reflect.Value) { hash.add(walker.walkPointer(value)) },
		reflect.Pointer)
	enter((*walker).walkInterface, reflect.Interface)
	enter((*walker).walkStruct, reflect.Struct)
	enter((*walker).walkList, reflect.Slice, reflect.Array)
	enter((*walker).walkMap, reflect.Map)
}

// walk returns the digest of a value.
func (walker *walker) walk(value reflect.Value) uint64 {
	hash := digestSeed
	walk := kindWalkers[value.Kind()]
	if walk == nil {
		panic("a kind that the fingerprint does not know: " + value.Kind().String())
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
	pointed := target{address: value.Pointer(), kind: value.Type().Elem()}
	if known, found := walker.known[pointed]; found {
		return known
	}
	if walker.open[pointed] {
		panic("the fingerprint can't walk a circle: " + value.Type().String())
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

// walkedFieldsByType remembers which fields of each struct type are walked, since asking for them takes longer than
// walking.
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

// skipped reports whether a field says nothing about how its machine goes on.
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

// walkMap folds in a map's entries in the order of their digests, since maps have none of their own.
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

// addSorted folds in a set of digests.
func (hash *digest) addSorted(digests []uint64) {
	slices.Sort(digests)
	hash.add(uint64(len(digests)))
	for _, one := range digests {
		hash.add(one)
	}
}

// source is a random source of one number, which the fingerprint can read.
type source struct{ state uint64 }

// newRandom returns a random source for one life of a machine.
func newRandom(name string, incarnation int) *rand.Rand {
	hash := digestSeed
	hash.addText(name)
	hash.add(uint64(incarnation))
	return rand.New(&source{state: uint64(hash)})
}

// Uint64 is splitmix64.
func (source *source) Uint64() uint64 {
	source.state += 0x9e3779b97f4a7c15
	mixed := source.state
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// Int63 returns the upper bits.
func (source *source) Int63() int64 { return int64(source.Uint64() >> 1) }

// Seed sets the state.
func (source *source) Seed(seed int64) { source.state = uint64(seed) }
