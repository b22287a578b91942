package config

import (
	"strings"
	"testing"

	"wardtray/apierror"
)

const good = `{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`

func TestBadTextIsMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"nothing": "", "blanks": "  ", "no object": "5", "cut short": good[:40], "text after": good + "{}",
		"unknown field": strings.Replace(good, `"worth"`, `"worht"`, 1), "field twice": strings.Replace(good, `"worth":1`, `"worth":1,"worth":2`, 1),
		"wrong type": strings.Replace(good, `"worth":1`, `"worth":"1"`, 1), "no span": strings.Replace(good, `"1s"`, `"soon"`, 1),
		"bad text": strings.Replace(good, `"m"`, "\"\xff\"", 1), "deep": strings.Repeat("[", 100),
	} {
		if _, err := Parse([]byte(text)); !apierror.Is(err, apierror.Malformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestEveryFlawIsListedWithItsPath(t *testing.T) {
	parsed, err := Parse([]byte(`{"zones":[{"name":"a","closed":false},{"name":"a","closed":true}],
"pools":[{"name":"P!","model":"","weights":"w","services":[]}],
"lanes":[{"name":"l","pool":"nowhere","worth":0,"patience":"0s","purse":0,"repeatable":false}]}`))
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, flaw := range parsed.Check() {
		paths = append(paths, flaw.Path)
	}
	want := "zones[1].name pools[0].name pools[0].model pools[0].services lanes[0].pool lanes[0].worth lanes[0].patience lanes[0].purse"
	if got := strings.Join(paths, " "); got != want {
		t.Fatalf("flaws at %s", got)
	}
	empty, err := Parse([]byte(`{}`))
	if err != nil || len(empty.Check()) != 3 {
		t.Fatalf("an empty document: %v %v", err, empty.Check())
	}
	fine, err := Parse([]byte(good))
	if err != nil || len(fine.Check()) != 0 {
		t.Fatalf("a good one: %v %v", err, fine.Check())
	}
	if changes := Diff(empty, fine); len(changes) != 3 || !strings.HasPrefix(changes[0], "+ lane l") {
		t.Fatalf("the difference: %v", changes)
	}
}

// with gives the good spec with one text in the place of another.
func with(t *testing.T, old, fresh string) *Spec {
	if !strings.Contains(good, old) {
		t.Fatalf("%s is not in the good spec", old)
	}
	parsed, err := Parse([]byte(strings.Replace(good, old, fresh, 1)))
	if err != nil {
		t.Fatalf("%s: %v", fresh, err)
	}
	return parsed
}

const (
	route   = `"worth":1,`
	backend = `"services":["s"]`
	target  = `"pool":"p"`
	whole   = `"zones":`
)

// TestEveryFieldHasItsBounds breaks one field at a time; the path of the flaw names it.
func TestEveryFieldHasItsBounds(t *testing.T) {
	long := strings.Repeat("x", 257)
	second := route + `"patience":"1s","purse":1,"repeatable":false,"authority":"H.example:80","path_prefix":"/a/"},
{"name":"m","pool":"p","authority":"h.EXAMPLE","path_prefix":"/a/",`
	cases := []struct{ path, old, fresh string }{
		{"lanes[0].authority", route, route + `"path_prefix":"/a/",`},
		{"lanes[0].authority", route, route + `"authority":"a/b","path_prefix":"/a/",`},
		{"lanes[0].authority", route, route + `"authority":"a b","path_prefix":"/a/",`},
		{"lanes[0].authority", route, route + `"authority":"` + long + `","path_prefix":"/a/",`},
		{"lanes[0].path_prefix", route, route + `"authority":"h",`},
		{"lanes[0].path_prefix", route, route + `"authority":"h","path_prefix":"a/",`},
		{"lanes[0].path_prefix", route, route + `"authority":"h","path_prefix":"/a",`},
		{"lanes[0].path_prefix", route, route + `"authority":"h","path_prefix":"/a b/",`},
		{"lanes[0].path_prefix", route, route + `"authority":"h","path_prefix":"/` + strings.Repeat("x", 1024) + `/",`},
		{"lanes[1].path_prefix", route, second},
		{"lanes[0].pool", target, `"attempts":1`},
		{"lanes[0].split", target, `"pool":"p","split":[{"pool":"p","weight":1}]`},
		{"lanes[0].split", target, `"split":[]`},
		{"lanes[0].split", target, `"split":[{"pool":"p","weight":0},{"pool":"p","weight":0}]`},
		{"lanes[0].split[1].pool", target, `"split":[{"pool":"p","weight":1},{"pool":"q","weight":1}]`},
		{"lanes[0].split[0].weight", target, `"split":[{"pool":"p","weight":-1},{"pool":"p","weight":3}]`},
		{"lanes[0].split[0].weight", target, `"split":[{"pool":"p","weight":1000001}]`},
		{"lanes[0].split", target, `"split":[` + strings.Repeat(`{"pool":"p","weight":1},`, 64) + `{"pool":"p","weight":1}]`},
		{"lanes[0].deadline", route, route + `"deadline":"-1s",`},
		{"lanes[0].deadline", route, route + `"deadline":"25h",`},
		{"lanes[0].attempts", route, route + `"attempts":-1,`},
		{"lanes[0].attempts", route, route + `"attempts":1001,`},
		{"lanes[0].rank", route, route + `"rank":-1,`},
		{"lanes[0].rank", route, route + `"rank":1001,`},
		{"lanes[0].pause", route, route + `"pause":"-1ms",`},
		{"lanes[0].pause", route, route + `"pause":"25h",`},
		{"lanes[0].patience", `"1s"`, `"9ms"`},
		{"lanes[0].patience", `"1s"`, `"61m"`},
		{"lanes[0].worth", route, `"worth":0,`},
		{"lanes[0].worth", route, `"worth":1001,`},
		{"lanes[0].purse", `"purse":0.5`, `"purse":0`},
		{"lanes[0].purse", `"purse":0.5`, `"purse":1.1`},
		{"lanes[0].name", `"name":"l"`, `"name":"` + long + `"`},
		{"lanes[0].name", `"name":"l"`, `"name":"a/b"`},
		{"lanes[0].annotations", route, route + `"annotations":{"a":"` + strings.Repeat("x", 256<<10) + `"},`},
		{"lanes[0].annotations." + long, route, route + `"annotations":{"` + long + `":1},`},
		{"pools[0].model", `"model":"m",`, ``},
		{"pools[0].weights", `"weights":"w",`, ``},
		{"pools[0].connection_limit", backend, backend + `,"connection_limit":-1`},
		{"pools[0].health_path", backend, backend + `,"health_path":"health"`},
		{"pools[0].engine.slots", backend, backend + `,"engine":{"slots":-1}`},
		{"pools[0].engine.memory_tokens", backend, backend + `,"engine":{"memory_tokens":-1}`},
		{"pools[0].engine.event_tokens", backend, backend + `,"engine":{"event_tokens":-1}`},
		{"pools[0].annotations", backend, backend + `,"annotations":{"a":"` + strings.Repeat("x", 256<<10) + `"}`},
		{"limits.header_bytes", whole, `"limits":{"header_bytes":-1},` + whole},
		{"limits.body_bytes", whole, `"limits":{"body_bytes":-1},` + whole},
		{"limits.header_time", whole, `"limits":{"header_time":"-1s"},` + whole},
		{"limits.idle_time", whole, `"limits":{"idle_time":"25h"},` + whole},
		{"annotations", whole, `"annotations":{"a":"` + strings.Repeat("x", 256<<10) + `"},` + whole},
	}
	for _, broken := range cases {
		flaws := with(t, broken.old, broken.fresh).Check()
		if len(flaws) != 1 || flaws[0].Path != broken.path {
			t.Errorf("%s: %v", broken.path, flaws)
		}
	}
}

func TestWhatIsLeftOutHasItsDefault(t *testing.T) {
	parsed := with(t, `"worth":1,"patience":"1s","purse":0.5,`, `"patience":"1s",`)
	if len(parsed.Check()) > 0 || parsed.Routes[0].Value != 1 || parsed.Routes[0].ConcurrencyLimit != 1 {
		t.Fatalf("%v %+v", parsed.Check(), parsed.Routes[0])
	}
	bare := with(t, `"model":"m","weights":"w",`, ``)
	if len(bare.Check()) > 0 || !bare.Backends[0].Runs("any") {
		t.Fatalf("a pool of any model: %v", bare.Check())
	}
	if named := with(t, whole, whole); named.Backends[0].Runs("any") || !named.Backends[0].Runs("m") {
		t.Fatal("a pool of one model serves another")
	}
	empty, err := Parse([]byte(`{"zones":[],"pools":[],"lanes":[]}`))
	if err != nil || len(empty.Check()) > 0 {
		t.Fatalf("a spec that holds nothing on purpose: %v %v", err, empty.Check())
	}
	if !NewCatalog(empty).Open("anywhere") || NewCatalog(parsed).Open("anywhere") || !NewCatalog(parsed).Open("a") {
		t.Fatal("a spec without zones leaves all open, one with zones only those it names")
	}
}

func TestAnnotationsComeBackAsTheyCame(t *testing.T) {
	text := `{"z":1.50,"a":{"x":[1, 2],"b":null},"m":"é\u0041"}`
	parsed := with(t, route, route+`"annotations":`+text+`,`)
	for range 20 {
		again, err := Parse(parsed.Encode())
		if err != nil || string(again.Encode()) != string(parsed.Encode()) {
			t.Fatalf("another form each time: %v", err)
		}
		for name, want := range map[string]string{"z": "1.50", "a": `{"x":[1, 2],"b":null}`, "m": `"é\u0041"`} {
			if got := string(again.Routes[0].Annotations[name]); got != want {
				t.Fatalf("%s is %s", name, got)
			}
		}
	}
}

func FuzzParse(fuzz *testing.F) {
	fuzz.Add([]byte(good))
	fuzz.Add([]byte(`{"zones":[{"name":"a","closed":1}]}`))
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse(content)
		if err != nil {
			return
		}
		again, err := Parse(parsed.Encode())
		if err != nil || len(Diff(parsed, again)) > 0 {
			t.Fatalf("the canonical form reads back as another: %v", err)
		}
		parsed.Check()
	})
}
