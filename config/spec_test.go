package config

import (
	"slices"
	"strings"
	"testing"

	"wardtray/apierror"
)

const valid = `{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`

func TestBadTextIsMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "blanks": "  ", "no object": "5", "cut short": valid[:40], "text after": valid + "{}",
		"unknown key":  strings.Replace(valid, `"worth"`, `"worht"`, 1),
		"repeated key": strings.Replace(valid, `"worth":1`, `"worth":1,"worth":2`, 1),
		"wrong type":   strings.Replace(valid, `"worth":1`, `"worth":"1"`, 1),
		"no duration":  strings.Replace(valid, `"1s"`, `"soon"`, 1),
		"bad text":     strings.Replace(valid, `"m"`, "\"\xff\"", 1),
		"deep":         strings.Repeat("[", 100),
	} {
		if _, err := Parse([]byte(text)); !apierror.Is(err, apierror.Malformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestEveryProblemIsListedWithItsPath(t *testing.T) {
	parsed, err := Parse([]byte(`{"zones":[{"name":"a","closed":false},{"name":"a","closed":true}],
"pools":[{"name":"P!","model":"","weights":"w","services":[]}],
"lanes":[{"name":"l","pool":"nowhere","worth":0,"patience":"0s","purse":0,"repeatable":false}]}`))
	if err != nil {
		t.Fatal(err)
	}
	problems := parsed.Check()
	paths := make([]string, len(problems))
	for i, problem := range problems {
		paths[i] = problem.Path
	}
	want := []string{"zones[1].name", "pools[0].name", "pools[0].model", "pools[0].services",
		"lanes[0].pool", "lanes[0].worth", "lanes[0].patience", "lanes[0].purse"}
	if !slices.Equal(paths, want) {
		t.Fatalf("problems at %v", paths)
	}
	empty, err := Parse([]byte(`{}`))
	if err != nil || len(empty.Check()) != 3 {
		t.Fatalf("an empty document: %v %v", err, empty.Check())
	}
	checked, err := Parse([]byte(valid))
	if err != nil || len(checked.Check()) != 0 {
		t.Fatalf("a valid document: %v %v", err, checked.Check())
	}
	if changes := Diff(empty, checked); len(changes) != 3 || !strings.HasPrefix(changes[0], "+ lane l") {
		t.Fatalf("the difference: %v", changes)
	}
}

// validWith parses the valid spec with one text replaced by another.
func validWith(t *testing.T, old, replacement string) *Spec {
	t.Helper()
	if !strings.Contains(valid, old) {
		t.Fatalf("%s is not in the valid spec", old)
	}
	parsed, err := Parse([]byte(strings.Replace(valid, old, replacement, 1)))
	if err != nil {
		t.Fatalf("%s: %v", replacement, err)
	}
	return parsed
}

const (
	routeKey   = `"worth":1,`
	backendKey = `"services":["s"]`
	targetKey  = `"pool":"p"`
	zonesKey   = `"zones":`
)

// Each invalid field is the only problem of its document, and is reported with the field's path.
func TestEveryFieldHasItsBounds(t *testing.T) {
	long := strings.Repeat("x", 257)
	second := routeKey + `"patience":"1s","purse":1,"repeatable":false,"authority":"H.example:80","path_prefix":"/a/"},
{"name":"m","pool":"p","authority":"h.EXAMPLE","path_prefix":"/a/",`
	cases := []struct{ path, old, replacement string }{
		{"lanes[0].authority", routeKey, routeKey + `"path_prefix":"/a/",`},
		{"lanes[0].authority", routeKey, routeKey + `"authority":"a/b","path_prefix":"/a/",`},
		{"lanes[0].authority", routeKey, routeKey + `"authority":"a b","path_prefix":"/a/",`},
		{"lanes[0].authority", routeKey, routeKey + `"authority":"` + long + `","path_prefix":"/a/",`},
		{"lanes[0].path_prefix", routeKey, routeKey + `"authority":"h",`},
		{"lanes[0].path_prefix", routeKey, routeKey + `"authority":"h","path_prefix":"a/",`},
		{"lanes[0].path_prefix", routeKey, routeKey + `"authority":"h","path_prefix":"/a",`},
		{"lanes[0].path_prefix", routeKey, routeKey + `"authority":"h","path_prefix":"/a b/",`},
		{"lanes[0].path_prefix", routeKey, routeKey + `"authority":"h","path_prefix":"/` + strings.Repeat("x", 1024) + `/",`},
		{"lanes[1].path_prefix", routeKey, second},
		{"lanes[0].pool", targetKey, `"attempts":1`},
		{"lanes[0].split", targetKey, `"pool":"p","split":[{"pool":"p","weight":1}]`},
		{"lanes[0].split", targetKey, `"split":[]`},
		{"lanes[0].split", targetKey, `"split":[{"pool":"p","weight":0},{"pool":"p","weight":0}]`},
		{"lanes[0].split[1].pool", targetKey, `"split":[{"pool":"p","weight":1},{"pool":"q","weight":1}]`},
		{"lanes[0].split[0].weight", targetKey, `"split":[{"pool":"p","weight":-1},{"pool":"p","weight":3}]`},
		{"lanes[0].split[0].weight", targetKey, `"split":[{"pool":"p","weight":1000001}]`},
		{"lanes[0].split", targetKey, `"split":[` + strings.Repeat(`{"pool":"p","weight":1},`, 64) + `{"pool":"p","weight":1}]`},
		{"lanes[0].deadline", routeKey, routeKey + `"deadline":"-1s",`},
		{"lanes[0].deadline", routeKey, routeKey + `"deadline":"25h",`},
		{"lanes[0].attempts", routeKey, routeKey + `"attempts":-1,`},
		{"lanes[0].attempts", routeKey, routeKey + `"attempts":1001,`},
		{"lanes[0].rank", routeKey, routeKey + `"rank":-1,`},
		{"lanes[0].rank", routeKey, routeKey + `"rank":1001,`},
		{"lanes[0].pause", routeKey, routeKey + `"pause":"-1ms",`},
		{"lanes[0].pause", routeKey, routeKey + `"pause":"25h",`},
		{"lanes[0].patience", `"1s"`, `"9ms"`},
		{"lanes[0].patience", `"1s"`, `"61m"`},
		{"lanes[0].worth", routeKey, `"worth":0,`},
		{"lanes[0].worth", routeKey, `"worth":1001,`},
		{"lanes[0].purse", `"purse":0.5`, `"purse":0`},
		{"lanes[0].purse", `"purse":0.5`, `"purse":1.1`},
		{"lanes[0].name", `"name":"l"`, `"name":"` + long + `"`},
		{"lanes[0].name", `"name":"l"`, `"name":"a/b"`},
		{"lanes[0].annotations", routeKey, routeKey + `"annotations":{"a":"` + strings.Repeat("x", 256<<10) + `"},`},
		{"lanes[0].annotations." + long, routeKey, routeKey + `"annotations":{"` + long + `":1},`},
		{"pools[0].model", `"model":"m",`, ``},
		{"pools[0].weights", `"weights":"w",`, ``},
		{"pools[0].connection_limit", backendKey, backendKey + `,"connection_limit":-1`},
		{"pools[0].health_path", backendKey, backendKey + `,"health_path":"health"`},
		{"pools[0].engine.slots", backendKey, backendKey + `,"engine":{"slots":-1}`},
		{"pools[0].engine.memory_tokens", backendKey, backendKey + `,"engine":{"memory_tokens":-1}`},
		{"pools[0].engine.event_tokens", backendKey, backendKey + `,"engine":{"event_tokens":-1}`},
		{"pools[0].annotations", backendKey, backendKey + `,"annotations":{"a":"` + strings.Repeat("x", 256<<10) + `"}`},
		{"limits.header_bytes", zonesKey, `"limits":{"header_bytes":-1},` + zonesKey},
		{"limits.body_bytes", zonesKey, `"limits":{"body_bytes":-1},` + zonesKey},
		{"limits.header_time", zonesKey, `"limits":{"header_time":"-1s"},` + zonesKey},
		{"limits.idle_time", zonesKey, `"limits":{"idle_time":"25h"},` + zonesKey},
		{"annotations", zonesKey, `"annotations":{"a":"` + strings.Repeat("x", 256<<10) + `"},` + zonesKey},
	}
	for _, test := range cases {
		problems := validWith(t, test.old, test.replacement).Check()
		if len(problems) != 1 || problems[0].Path != test.path {
			t.Errorf("%s: %v", test.path, problems)
		}
	}
}

func TestDefaultsOfOmittedKeys(t *testing.T) {
	parsed := validWith(t, `"worth":1,"patience":"1s","purse":0.5,`, `"patience":"1s",`)
	if len(parsed.Check()) > 0 || parsed.Routes[0].Value != 1 || parsed.Routes[0].ConcurrencyLimit != 1 {
		t.Fatalf("%v %+v", parsed.Check(), parsed.Routes[0])
	}
	bare := validWith(t, `"model":"m","weights":"w",`, ``)
	if len(bare.Check()) > 0 || !bare.Backends[0].ServesModel("any") {
		t.Fatalf("a backend without a model has problems, or does not serve every model: %v", bare.Check())
	}
	named := validWith(t, zonesKey, zonesKey).Backends[0]
	if named.ServesModel("any") || !named.ServesModel("m") {
		t.Fatal("a backend with a model serves another model, or not its own")
	}
	empty, err := Parse([]byte(`{"zones":[],"pools":[],"lanes":[]}`))
	if err != nil || len(empty.Check()) > 0 {
		t.Fatalf("a spec with explicitly empty lists: %v %v", err, empty.Check())
	}
	if !NewCatalog(empty).IsOpen("anywhere") || NewCatalog(parsed).IsOpen("anywhere") || !NewCatalog(parsed).IsOpen("a") {
		t.Fatal("without zones in the spec every zone must be open, and with zones only the listed ones")
	}
}

func TestAnnotationsAreReturnedUnchanged(t *testing.T) {
	text := `{"z":1.50,"a":{"x":[1, 2],"b":null},"m":"é\u0041"}`
	parsed := validWith(t, routeKey, routeKey+`"annotations":`+text+`,`)
	for range 20 {
		again, err := Parse(parsed.Encode())
		if err != nil || string(again.Encode()) != string(parsed.Encode()) {
			t.Fatalf("the encoding is not canonical: %v", err)
		}
		for name, want := range map[string]string{"z": "1.50", "a": `{"x":[1, 2],"b":null}`, "m": `"é\u0041"`} {
			if got := string(again.Routes[0].Annotations[name]); got != want {
				t.Fatalf("%s is %s", name, got)
			}
		}
	}
}

func FuzzParse(fuzz *testing.F) {
	fuzz.Add([]byte(valid))
	fuzz.Add([]byte(`{"zones":[{"name":"a","closed":1}]}`))
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse(content)
		if err != nil {
			return
		}
		again, err := Parse(parsed.Encode())
		if err != nil || len(Diff(parsed, again)) > 0 {
			t.Fatalf("the canonical form is parsed as another spec: %v", err)
		}
		parsed.Check()
	})
}
