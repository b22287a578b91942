// Package nginx reads the upstreams and proxied locations of an nginx configuration into a spec for an
// operator to review. What has no counterpart is listed, never dropped in silence.
package nginx

import (
	"fmt"
	"strings"
	"time"

	crossplane "github.com/nginxinc/nginx-go-crossplane"

	"wardtray/apierror"
	"wardtray/config"
)

// Note is something that the reader of the result must know or decide.
type Note struct {
	File string
	Line int
	Text string
}

// String gives the note with its place.
func (note Note) String() string { return fmt.Sprintf("%s:%d: %s", note.File, note.Line, note.Text) }

const defaultLatencyTarget = 60 * time.Second

type importer struct {
	spec     config.Spec
	backends map[string]bool
	routes   map[string]bool
	notes    []Note
	file     string
}

// Import reads a file and what it includes. A file that can't be read whole gives a Malformed fault
// with its line, and no spec.
func Import(path string) (*config.Spec, []Note, error) {
	payload, err := crossplane.Parse(path, &crossplane.ParseOptions{StopParsingOnError: true, CombineConfigs: true, SkipDirectiveContextCheck: true})
	if err != nil {
		return nil, nil, apierror.New(apierror.Malformed, "%v; mend this line and import again", err)
	}
	reader := &importer{backends: map[string]bool{}, routes: map[string]bool{}, spec: config.Spec{Zones: []config.Zone{{Name: "imported"}}}}
	for _, config := range payload.Config {
		reader.file = config.File
		// Locations name upstreams that may stand further down.
		reader.walk(config.Parsed, "", map[string]func(directive *crossplane.Directive, context string){"upstream": reader.upstream})
		reader.walk(config.Parsed, "", map[string]func(directive *crossplane.Directive, context string){"location": reader.location, "upstream": func(*crossplane.Directive, string) {}})
	}
	if len(reader.spec.Backends) == 0 || len(reader.spec.Routes) == 0 {
		return nil, nil, apierror.New(apierror.InvalidSpec, "%s has %d upstreams and %d locations that pass to one; a spec needs one of each", path, len(reader.spec.Backends), len(reader.spec.Routes))
	}
	reader.notes = append(reader.notes, Note{path, 1, "zone \"imported\" stands for all machines; name the real zones"})
	return &reader.spec, reader.notes, nil
}

// containers are the blocks that are only walked through.
var containers = map[string]bool{"http": true, "server": true, "stream": true}

func (reader *importer) walk(directives crossplane.Directives, context string, takes map[string]func(directive *crossplane.Directive, context string)) {
	_, lists := takes["location"]
	for _, directive := range directives {
		if take := takes[directive.Directive]; take != nil {
			take(directive, context)
			continue
		}
		if containers[directive.Directive] {
			reader.walk(directive.Block, context+directive.Directive+" ", takes)
			continue
		}
		if lists && directive.Directive != "location" {
			reader.none(directive, strings.TrimSpace(context))
		}
	}
}

func (reader *importer) note(directive *crossplane.Directive, format string, values ...any) {
	file := directive.File
	if file == "" {
		file = reader.file
	}
	reader.notes = append(reader.notes, Note{file, directive.Line, fmt.Sprintf(format, values...)})
}

func (reader *importer) none(directive *crossplane.Directive, where string) {
	text := strings.TrimSpace(directive.Directive + " " + strings.Join(directive.Args, " "))
	if where != "" {
		text += " (in " + where + ")"
	}
	reader.note(directive, "no counterpart for: %s", text)
}

// name makes a name that a spec allows, and one that is not taken.
func name(text string, taken map[string]bool) string {
	plain := strings.Trim(strings.Map(func(letter rune) rune {
		letter = []rune(strings.ToLower(string(letter)))[0]
		if letter >= 'a' && letter <= 'z' || letter >= '0' && letter <= '9' {
			return letter
		}
		return '-'
	}, text), "-")
	if plain == "" {
		plain = "root"
	}
	if len(plain) > 56 {
		plain = plain[:56]
	}
	made := plain
	for number := 2; taken[made]; number++ {
		made = fmt.Sprintf("%s-%d", plain, number)
	}
	taken[made] = true
	return made
}

func (reader *importer) upstream(directive *crossplane.Directive, _ string) {
	backend := name(directive.Args[0], reader.backends)
	if backend != directive.Args[0] {
		reader.note(directive, "upstream %q is pool %q", directive.Args[0], backend)
	}
	reader.spec.Backends = append(reader.spec.Backends, config.Pool{Name: backend, Model: backend, Weights: "imported", Services: []string{backend}})
	reader.note(directive, "pool %q: model, weights and service are placeholders; name the real ones", backend)
	for _, inside := range directive.Block {
		if inside.Directive == "server" {
			reader.note(inside, "server %s: who runs is said by the platform's list, not by the spec", strings.Join(inside.Args, " "))
			continue
		}
		reader.none(inside, "upstream "+directive.Args[0])
	}
}

func (reader *importer) location(directive *crossplane.Directive, context string) {
	path := directive.Args[len(directive.Args)-1]
	route := config.Route{Value: 1, ConcurrencyLimit: 1, LatencyTarget: config.Duration(defaultLatencyTarget)}
	var rest []*crossplane.Directive
	for _, inside := range directive.Block {
		takes := map[string]func(){
			"proxy_pass": func() {
				target := strings.TrimPrefix(strings.TrimPrefix(inside.Args[0], "https://"), "http://")
				target, _, _ = strings.Cut(target, "/")
				if reader.backends[target] {
					route.Pool = target
				}
			},
			"proxy_read_timeout": func() {
				length, err := time.ParseDuration(inside.Args[0])
				if err != nil {
					length, err = time.ParseDuration(inside.Args[0] + "s")
				}
				if err != nil {
					rest = append(rest, inside)
					return
				}
				route.LatencyTarget = config.Duration(length)
			},
		}
		if take := takes[inside.Directive]; take != nil {
			take()
			continue
		}
		rest = append(rest, inside)
	}
	if route.Pool == "" {
		reader.none(directive, strings.TrimSpace(context))
		return
	}
	route.Name = name(path, reader.routes)
	reader.note(directive, "location %s is lane %q; its worth, purse and whether it may be repeated are yours to set", path, route.Name)
	for _, inside := range rest {
		reader.none(inside, "location "+path)
	}
	reader.spec.Routes = append(reader.spec.Routes, route)
}
