package spec

import (
	"fmt"
	"math/rand"
	"testing"

	"wardtray/process/fault"
)

func TestChangeKeepsPlacesAndLeavesThePresentAlone(test *testing.T) {
	present, failure := Parse([]byte(`{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","services":["s"]},{"name":"q","services":["t"]}],
"lanes":[{"name":"k","pool":"p","patience":"1s"},{"name":"l","pool":"p","patience":"1s"},{"name":"m","pool":"q","patience":"1s"}],"annotations":{"x":1,"y":2}}`))
	if failure != nil {
		test.Fatal(failure)
	}
	before := string(present.Encode())
	change, failure := ParseChange([]byte(`{"upsert":{"zones":[{"name":"b","closed":true}],"lanes":[{"name":"n","pool":"p","patience":"1s"},{"name":"l","pool":"p","patience":"2s","worth":5}]},
"remove":{"lanes":["m","gone"],"pools":["q"],"zones":["a"]},"limits":{"body_bytes":7},"annotations":{"x":null,"z":{"a": 1}}}`))
	if failure != nil {
		test.Fatal(failure)
	}
	next, flaws := change.Apply(present)
	if len(flaws) > 0 || string(present.Encode()) != before {
		test.Fatalf("%v; the present spec is now %s", flaws, present.Encode())
	}
	want, failure := Parse([]byte(`{"zones":[{"name":"b","closed":true}],"pools":[{"name":"p","services":["s"]}],
"lanes":[{"name":"k","pool":"p","patience":"1s"},{"name":"l","pool":"p","patience":"2s","worth":5},{"name":"n","pool":"p","patience":"1s"}],
"limits":{"body_bytes":7},"annotations":{"y":2,"z":{"a": 1}}}`))
	if failure != nil || string(next.Encode()) != string(want.Encode()) {
		test.Fatalf("%v: got %s", failure, next.Encode())
	}
}

func TestBadChangesAreMalformed(test *testing.T) {
	for name, text := range map[string]string{"nothing": "", "a list": "[]", "unknown": `{"add":{}}`, "twice": `{"upsert":{},"upsert":{}}`, "behind": `{}{}`,
		"unknown list": `{"remove":{"lane":[]}}`, "wrong type": `{"remove":{"lanes":[1]}}`, "bad lane": `{"upsert":{"lanes":[{"name":"l","pols":"p"}]}}`} {
		if _, failure := ParseChange([]byte(text)); !fault.Is(failure, fault.Malformed) {
			test.Errorf("%s: %v", name, failure)
		}
	}
}

// A change agrees with its definition on drawn lists: entries that stay or are replaced keep their order,
// those that are new follow in the order given.
func TestChangeAgreesWithItsDefinition(test *testing.T) {
	random := rand.New(rand.NewSource(3))
	names := func() (drawn []string) {
		for _, place := range random.Perm(8)[:random.Intn(6)] {
			drawn = append(drawn, fmt.Sprint(place))
		}
		return drawn
	}
	for range 500 {
		present, change := &Spec{Zones: []Zone{}, Pools: []Pool{}, Lanes: Lanes{}}, &Change{}
		for _, name := range names() {
			present.Zones = append(present.Zones, Zone{Name: name})
		}
		upsert, removed := map[string]bool{}, map[string]bool{}
		for _, name := range names() {
			change.Upsert.Zones, upsert[name] = append(change.Upsert.Zones, Zone{Name: name, Closed: true}), true
		}
		clash := false
		for _, name := range names() {
			change.Remove.Zones, removed[name], clash = append(change.Remove.Zones, name), true, clash || upsert[name]
		}
		var want []Zone
		for _, zone := range present.Zones {
			if !removed[zone.Name] {
				want = append(want, Zone{Name: zone.Name, Closed: upsert[zone.Name]})
			}
			delete(upsert, zone.Name)
		}
		for _, zone := range change.Upsert.Zones {
			if upsert[zone.Name] {
				want = append(want, zone)
			}
		}
		present.Pools, present.Lanes = []Pool{{Name: "p", Services: []string{"s"}}}, Lanes{{Name: "l", Pool: "p", Worth: 1, Purse: 1, Patience: Span(1e9)}}
		next, flaws := change.Apply(present)
		if clash != (len(flaws) > 0) {
			test.Fatalf("%+v: %v", change, flaws)
		}
		if !clash && fmt.Sprint(next.Zones) != fmt.Sprint(want) {
			test.Fatalf("%+v\nto    %v\ngives %v\nwants %v", change, present.Zones, next.Zones, want)
		}
	}
}
