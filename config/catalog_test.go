package config

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"
)

// catalogOf returns a catalog of routes given as host and path prefix. Each route is named by its index.
func catalogOf(matches ...string) *Catalog {
	spec := &Spec{Backends: []Backend{{Name: "p"}}}
	for i, match := range matches {
		host, path, _ := strings.Cut(match, "/")
		route := Route{Name: strconv.Itoa(i), Backend: "p", Authority: host, PathPrefix: "/" + path}
		spec.Routes = append(spec.Routes, route)
	}
	return NewCatalog(spec)
}

func TestMatchIsTheLongestPrefixOfTheHost(t *testing.T) {
	catalog := catalogOf("a.example/", "a.example/x/", "a.example/x/y/", "b.example/x/", "[::1]:80/v/")
	for requested, want := range map[string]string{
		"a.example /": "0", "a.example /x": "0", "a.example //x/": "0",
		"a.example /x/": "1", "a.example /x/z": "1", "a.example /x/y": "1",
		"a.example /x/y/": "2", "a.example /x/y/z/w": "2", "A.Example:8080 /x/y/z": "2",
		"b.example /x/y/z": "3", "b.example /x//": "3",
		"[::1] /v/w": "4", "[::1]:9 /v/w": "4",
		"b.example /": "", "b.example /y/": "", "c.example /x/": "", "a.example x": "", "a.example *": "",
	} {
		host, path, _ := strings.Cut(requested, " ")
		got := ""
		if route := catalog.Match(host, path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s matches route %q", requested, got)
		}
	}
	if catalog.Match("", "") != nil {
		t.Error("an empty host matches a route")
	}
}

// longestPrefix is a reference implementation of Match: it compares the path with every prefix of the host.
func longestPrefix(spec *Spec, host, path string) (found *Route) {
	for i := range spec.Routes {
		route := &spec.Routes[i]
		if route.Authority != host || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if found == nil || len(route.PathPrefix) > len(found.PathPrefix) {
			found = route
		}
	}
	return found
}

// Match finds the same route as a linear search, for random prefixes and paths.
func TestMatchAgreesWithItsDefinition(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	randomPath := func(maximum int) string {
		var path strings.Builder
		path.WriteByte('/')
		for range random.Intn(maximum) {
			path.WriteString([]string{"a", "b", "/", "a/", "b/"}[random.Intn(5)])
		}
		return path.String()
	}
	for range 300 {
		var matches []string
		taken := map[string]bool{}
		for range 1 + random.Intn(20) {
			match := []string{"h", "k"}[random.Intn(2)] + strings.TrimSuffix(randomPath(5), "/") + "/"
			if !taken[match] {
				taken[match], matches = true, append(matches, match)
			}
		}
		catalog := catalogOf(matches...)
		for range 50 {
			host, requested := []string{"h", "k"}[random.Intn(2)], randomPath(9)
			want := longestPrefix(catalog.Spec, host, requested)
			if got := catalog.Match(host, requested); got != want {
				t.Fatalf("%v: %s%s matches %v instead of %v", matches, host, requested, got, want)
			}
		}
	}
}

func TestBackendAtFollowsTheWeights(t *testing.T) {
	split := []Share{
		{Backend: "p", Weight: 60}, {Backend: "r", Weight: 0}, {Backend: "q", Weight: 10}, {Backend: "p", Weight: 30},
	}
	catalog := NewCatalog(&Spec{
		Backends: []Backend{{Name: "p"}, {Name: "q"}, {Name: "r"}},
		Routes:   []Route{{Name: "split", Split: split}, {Name: "single", Backend: "q"}, {Name: "missing", Backend: "gone"}},
	})
	route, single, missing := catalog.Routes["split"], catalog.Routes["single"], catalog.Routes["missing"]
	if backends := catalog.BackendsOf(route); len(backends) != 2 || backends[0].Name != "p" || backends[1].Name != "q" {
		t.Errorf("the backends are %v", backends)
	}
	for point, want := range map[float64]string{0: "p", 0.59: "p", 0.6: "q", 0.699: "q", 0.7: "p", 0.9999: "p", 1: "p"} {
		if got := catalog.BackendAt(route, point).Name; got != want {
			t.Errorf("point %v selects %s", point, got)
		}
	}
	if catalog.BackendAt(single, 0.3).Name != "q" {
		t.Error("a route with one backend selects another")
	}
	if catalog.BackendAt(missing, 0.3) != nil || len(catalog.BackendsOf(missing)) != 0 {
		t.Error("a backend was returned for a route without an existing backend")
	}
}

func BenchmarkMatch(bench *testing.B) {
	matches := make([]string, 500)
	for i := range matches {
		matches[i] = fmt.Sprintf("h%d.example/p%d/", i%7, i)
	}
	catalog := catalogOf(matches...)
	bench.ReportAllocs()
	for bench.Loop() {
		if catalog.Match("h3.example", "/p10/some/further/path") == nil {
			bench.Fatal("not found")
		}
	}
}
