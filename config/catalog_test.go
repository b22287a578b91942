package config

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

func routed(places ...string) *Catalog {
	spec := &Spec{Backends: []Pool{{Name: "p"}}}
	for number, place := range places {
		host, path, _ := strings.Cut(place, "/")
		spec.Routes = append(spec.Routes, Route{Name: fmt.Sprint(number), Pool: "p", Authority: host, PathPrefix: "/" + path})
	}
	return NewCatalog(spec)
}

func TestRouteIsTheLongestPrefixOfTheHost(t *testing.T) {
	book := routed("a.example/", "a.example/x/", "a.example/x/y/", "b.example/x/", "[::1]:80/v/")
	for asked, want := range map[string]string{
		"a.example /": "0", "a.example /x": "0", "a.example /x/": "1", "a.example /x/z": "1", "a.example /x/y": "1", "a.example /x/y/": "2",
		"a.example /x/y/z/w": "2", "A.Example:8080 /x/y/z": "2", "b.example /x/y/z": "3", "b.example /": "", "b.example /y/": "", "c.example /x/": "",
		"a.example x": "", "a.example *": "", "[::1] /v/w": "4", "[::1]:9 /v/w": "4", "b.example /x//": "3", "a.example //x/": "0",
	} {
		host, path, _ := strings.Cut(asked, " ")
		got := ""
		if route := book.Match(host, path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s goes to %q", asked, got)
		}
	}
	if book.Match("", "") != nil {
		t.Error("nothing has a lane")
	}
}

// longestPrefix is the definition of a route: the route of the host whose prefix of the path is the longest.
func longestPrefix(spec *Spec, host, path string) (found *Route) {
	for place := range spec.Routes {
		route := &spec.Routes[place]
		if route.Authority == host && strings.HasPrefix(path, route.PathPrefix) && (found == nil || len(route.PathPrefix) > len(found.PathPrefix)) {
			found = route
		}
	}
	return found
}

// The quick search agrees with the definition on drawn prefixes and paths.
func TestRouteAgreesWithItsDefinition(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	path := func(most int) string {
		made := "/"
		for range random.Intn(most) {
			made += []string{"a", "b", "/", "a/", "b/"}[random.Intn(5)]
		}
		return made
	}
	for range 300 {
		var places []string
		taken := map[string]bool{}
		for range 1 + random.Intn(20) {
			place := []string{"h", "k"}[random.Intn(2)] + strings.TrimSuffix(path(5), "/") + "/"
			if !taken[place] {
				taken[place], places = true, append(places, place)
			}
		}
		book := routed(places...)
		for range 50 {
			host, asked := []string{"h", "k"}[random.Intn(2)], path(9)
			want := longestPrefix(book.Spec, host, asked)
			if got := book.Match(host, asked); got != want {
				t.Fatalf("%v: %s%s goes to %v, not %v", places, host, asked, got, want)
			}
		}
	}
}

func TestSplitGoesByItsWeights(t *testing.T) {
	spec := &Spec{Backends: []Pool{{Name: "p"}, {Name: "q"}, {Name: "r"}}, Routes: []Route{{Name: "l", Split: []Share{
		{Pool: "p", Weight: 60}, {Pool: "r", Weight: 0}, {Pool: "q", Weight: 10}, {Pool: "p", Weight: 30}}}, {Name: "m", Pool: "q"}, {Name: "n", Pool: "gone"}}}
	book := NewCatalog(spec)
	route := book.Routes["l"]
	names := ""
	for _, backend := range book.BackendsOf(route) {
		names += backend.Name
	}
	if names != "pq" {
		t.Errorf("the pools are %q", names)
	}
	for point, want := range map[float64]string{0: "p", 0.59: "p", 0.6: "q", 0.699: "q", 0.7: "p", 0.9999: "p", 1: "p"} {
		if got := book.BackendAt(route, point).Name; got != want {
			t.Errorf("%v goes to %s", point, got)
		}
	}
	if book.BackendAt(book.Routes["m"], 0.3).Name != "q" || book.BackendAt(book.Routes["n"], 0.3) != nil || len(book.BackendsOf(book.Routes["n"])) != 0 {
		t.Error("one pool, or one that is not there")
	}
}

func BenchmarkRoute(bench *testing.B) {
	var places []string
	for number := range 500 {
		places = append(places, fmt.Sprintf("h%d.example/p%d/", number%7, number))
	}
	book := routed(places...)
	bench.ReportAllocs()
	for bench.Loop() {
		if book.Match("h3.example", "/p10/some/further/path") == nil {
			bench.Fatal("not found")
		}
	}
}
