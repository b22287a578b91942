package config

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"wardtray/apierror"
)

func TestApplyKeepsPositionsAndTheDocumentItself(t *testing.T) {
	present, err := Parse([]byte(`{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","services":["s"]},{"name":"q","services":["t"]}],
"lanes":[{"name":"k","pool":"p","patience":"1s"},{"name":"l","pool":"p","patience":"1s"},{"name":"m","pool":"q","patience":"1s"}],"annotations":{"x":1,"y":2}}`))
	if err != nil {
		t.Fatal(err)
	}
	before := string(present.Encode())
	change, err := ParseChange([]byte(`{"upsert":{"zones":[{"name":"b","closed":true}],
"lanes":[{"name":"n","pool":"p","patience":"1s"},{"name":"l","pool":"p","patience":"2s","worth":5}]},
"remove":{"lanes":["m","gone"],"pools":["q"],"zones":["a"]},"limits":{"body_bytes":7},"annotations":{"x":null,"z":{"a": 1}}}`))
	if err != nil {
		t.Fatal(err)
	}
	next, problems := change.Apply(present)
	if len(problems) > 0 || string(present.Encode()) != before {
		t.Fatalf("problems %v, or the present spec was modified: %s", problems, present.Encode())
	}
	want, err := Parse([]byte(`{"zones":[{"name":"b","closed":true}],"pools":[{"name":"p","services":["s"]}],
"lanes":[{"name":"k","pool":"p","patience":"1s"},{"name":"l","pool":"p","patience":"2s","worth":5},
{"name":"n","pool":"p","patience":"1s"}],"limits":{"body_bytes":7},"annotations":{"y":2,"z":{"a": 1}}}`))
	if err != nil || string(next.Encode()) != string(want.Encode()) {
		t.Fatalf("%v: the resulting spec is %s", err, next.Encode())
	}
}

func TestBadChangesAreMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "a list": "[]", "unknown key": `{"add":{}}`, "repeated key": `{"upsert":{},"upsert":{}}`,
		"text after the end": `{}{}`, "unknown list": `{"remove":{"lane":[]}}`, "wrong type": `{"remove":{"lanes":[1]}}`,
		"unknown key of a route": `{"upsert":{"lanes":[{"name":"l","pols":"p"}]}}`,
	} {
		if _, err := ParseChange([]byte(text)); !apierror.Is(err, apierror.Malformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// changedZones is a reference implementation of a change of zones. upsert and removed hold the names in the change.
func changedZones(present, upserted []Zone, upsert, removed map[string]bool) (zones []Zone) {
	for _, zone := range present {
		if !removed[zone.Name] {
			zones = append(zones, Zone{Name: zone.Name, Closed: upsert[zone.Name]})
		}
		delete(upsert, zone.Name)
	}
	for _, zone := range upserted {
		if upsert[zone.Name] {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Applying random changes gives the same lists as a reference implementation: entries that stay or are replaced keep
// their order, and new entries follow in the order of the change. A name in both lists of a change is a problem.
func TestApplyAgreesWithItsDefinition(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	randomNames := func() (names []string) {
		for _, number := range random.Perm(8)[:random.Intn(6)] {
			names = append(names, strconv.Itoa(number))
		}
		return names
	}
	for range 500 {
		present, change := &Spec{Zones: []Zone{}, Backends: []Backend{}, Routes: Routes{}}, &Change{}
		for _, name := range randomNames() {
			present.Zones = append(present.Zones, Zone{Name: name})
		}
		upsert, removed := map[string]bool{}, map[string]bool{}
		for _, name := range randomNames() {
			change.Upsert.Zones, upsert[name] = append(change.Upsert.Zones, Zone{Name: name, Closed: true}), true
		}
		conflict := false
		for _, name := range randomNames() {
			change.Remove.Zones, removed[name], conflict = append(change.Remove.Zones, name), true, conflict || upsert[name]
		}
		want := changedZones(present.Zones, change.Upsert.Zones, upsert, removed)
		present.Backends = []Backend{{Name: "p", Services: []string{"s"}}}
		route := Route{Name: "l", Backend: "p", Value: 1, ConcurrencyLimit: 1, LatencyTarget: Duration(time.Second)}
		present.Routes = Routes{route}
		next, problems := change.Apply(present)
		if conflict != (len(problems) > 0) {
			t.Fatalf("%+v: %v", change, problems)
		}
		if !conflict && fmt.Sprint(next.Zones) != fmt.Sprint(want) {
			t.Fatalf("change   %+v\nof zones %v\ngives    %v\nwant     %v", change, present.Zones, next.Zones, want)
		}
	}
}
