// Package nginx imports the upstreams and proxied locations of an nginx configuration into a document for an operator
// to review. What has no counterpart is listed as a note, never dropped in silence.
package nginx

import (
	"fmt"
	"strings"
	"time"
	"unicode"

	crossplane "github.com/nginxinc/nginx-go-crossplane"

	"wardtray/apierror"
	"wardtray/config"
)

// Note is something that the operator must know or decide.
type Note struct {
	// File and Line say where the directive stands.
	File string
	Line int
	Text string
}

// String returns the note with its position.
func (note Note) String() string { return fmt.Sprintf("%s:%d: %s", note.File, note.Line, note.Text) }

const (
	// defaultLatencyTarget is nginx's own default of proxy_read_timeout.
	defaultLatencyTarget = 60 * time.Second
	// importedZone stands for all machines, since an nginx configuration has no zones.
	importedZone = "imported"
	// maximumName bounds the names that are made, in bytes.
	maximumName = 56
)

// Import reads a file and those that it includes. A file that can't be read completely is a Malformed error that names
// its line; one without an upstream and a location that passes to it is an InvalidSpec error.
func Import(path string) (*config.Spec, []Note, error) {
	options := &crossplane.ParseOptions{StopParsingOnError: true, CombineConfigs: true, SkipDirectiveContextCheck: true}
	payload, err := crossplane.Parse(path, options)
	if err != nil {
		return nil, nil, apierror.New(apierror.Malformed, "%v; mend this line and import again", err)
	}
	importer := newImporter()
	for _, file := range payload.Config {
		importer.importFile(file)
	}
	spec := &importer.spec
	if len(spec.Backends) == 0 || len(spec.Routes) == 0 {
		return nil, nil, apierror.New(apierror.InvalidSpec,
			"%s has %d upstreams and %d locations that pass to one; a spec needs one of each",
			path, len(spec.Backends), len(spec.Routes))
	}
	zoneText := fmt.Sprintf("zone %q stands for all machines; name the real zones", importedZone)
	return spec, append(importer.notes, Note{File: path, Line: 1, Text: zoneText}), nil
}

// importer builds a document from directives.
type importer struct {
	spec  config.Spec
	notes []Note
	// backends and routes hold the names that are taken.
	backends map[string]bool
	routes   map[string]bool
	// file is the path of the file that is being imported.
	file string
}

func newImporter() *importer {
	return &importer{
		spec:     config.Spec{Zones: []config.Zone{{Name: importedZone}}},
		backends: map[string]bool{},
		routes:   map[string]bool{},
	}
}

// handlers handle directives by name; context names the blocks around the directive.
type handlers map[string]func(directive *crossplane.Directive, context string)

// ignore is the handler of a directive that was handled before.
func ignore(*crossplane.Directive, string) {}

// importFile imports one file. Upstreams come first, since locations name upstreams that may stand further down.
func (importer *importer) importFile(file crossplane.Config) {
	importer.file = file.File
	importer.walk(file.Parsed, "", handlers{"upstream": importer.upstream}, ignore)
	locations := handlers{"location": importer.location, "upstream": ignore}
	importer.walk(file.Parsed, "", locations, importer.unsupported)
}

// containers are the blocks that are only walked through.
var containers = map[string]bool{"http": true, "server": true, "stream": true}

// walk hands each directive to the handler of its name, or to the other one if there is none.
func (importer *importer) walk(
	directives crossplane.Directives,
	context string,
	handlers handlers,
	other func(directive *crossplane.Directive, context string),
) {
	for _, directive := range directives {
		if handle := handlers[directive.Directive]; handle != nil {
			handle(directive, context)
			continue
		}
		if containers[directive.Directive] {
			importer.walk(directive.Block, context+directive.Directive+" ", handlers, other)
			continue
		}
		other(directive, strings.TrimSpace(context))
	}
}

// note adds a note on a directive.
func (importer *importer) note(directive *crossplane.Directive, format string, values ...any) {
	file := directive.File
	if file == "" {
		file = importer.file
	}
	note := Note{File: file, Line: directive.Line, Text: fmt.Sprintf(format, values...)}
	importer.notes = append(importer.notes, note)
}

// unsupported notes that a directive has no counterpart.
func (importer *importer) unsupported(directive *crossplane.Directive, context string) {
	text := strings.TrimSpace(directive.Directive + " " + strings.Join(directive.Args, " "))
	if context != "" {
		text += " (in " + context + ")"
	}
	importer.note(directive, "no counterpart for: %s", text)
}

// upstream imports an upstream as a backend.
func (importer *importer) upstream(directive *crossplane.Directive, _ string) {
	upstream := directive.Args[0]
	name := uniqueName(upstream, importer.backends)
	if name != upstream {
		importer.note(directive, "upstream %q is pool %q", upstream, name)
	}
	backend := config.Backend{Name: name, Model: name, Weights: importedZone, Services: []string{name}}
	importer.spec.Backends = append(importer.spec.Backends, backend)
	importer.note(directive, "pool %q: model, weights and service are placeholders; name the real ones", name)
	for _, inner := range directive.Block {
		if inner.Directive == "server" {
			server := strings.Join(inner.Args, " ")
			importer.note(inner, "server %s: who runs is said by the platform's list, not by the spec", server)
			continue
		}
		importer.unsupported(inner, "upstream "+upstream)
	}
}

// location imports a location that passes to an upstream as a route.
func (importer *importer) location(directive *crossplane.Directive, context string) {
	path := directive.Args[len(directive.Args)-1]
	route := config.Route{Value: 1, ConcurrencyLimit: 1, LatencyTarget: config.Duration(defaultLatencyTarget)}
	var unsupported []*crossplane.Directive
	for _, inner := range directive.Block {
		if !importer.locationDirective(inner, &route) {
			unsupported = append(unsupported, inner)
		}
	}
	if route.Backend == "" {
		importer.unsupported(directive, strings.TrimSpace(context))
		return
	}
	route.Name = uniqueName(path, importer.routes)
	importer.note(directive, "location %s is lane %q; its worth, purse and whether it may be repeated are yours to set",
		path, route.Name)
	for _, inner := range unsupported {
		importer.unsupported(inner, "location "+path)
	}
	importer.spec.Routes = append(importer.spec.Routes, route)
}

// locationDirective sets what a directive of a location says of its route; it reports whether there is a counterpart.
func (importer *importer) locationDirective(directive *crossplane.Directive, route *config.Route) bool {
	switch directive.Directive {
	case "proxy_pass":
		if target := passTarget(directive.Args[0]); importer.backends[target] {
			route.Backend = target
		}
		return true
	case "proxy_read_timeout":
		timeout, err := parseTime(directive.Args[0])
		if err != nil {
			return false
		}
		route.LatencyTarget = config.Duration(timeout)
		return true
	default:
		return false
	}
}

// passTarget returns the host of a URL of proxy_pass.
func passTarget(address string) string {
	address = strings.TrimPrefix(strings.TrimPrefix(address, "https://"), "http://")
	host, _, _ := strings.Cut(address, "/")
	return host
}

// parseTime parses a time of nginx, which is in seconds if it has no unit.
func parseTime(text string) (time.Duration, error) {
	if duration, err := time.ParseDuration(text); err == nil {
		return duration, nil
	}
	return time.ParseDuration(text + "s")
}

// uniqueName makes a name that a document allows and that is not taken, and takes it.
func uniqueName(text string, taken map[string]bool) string {
	base := strings.Trim(strings.Map(nameCharacter, text), "-")
	if base == "" {
		base = "root"
	}
	if len(base) > maximumName {
		base = base[:maximumName]
	}
	name := base
	for number := 2; taken[name]; number++ {
		name = fmt.Sprintf("%s-%d", base, number)
	}
	taken[name] = true
	return name
}

// nameCharacter returns the lower case of a letter or digit of ASCII, and a dash for any other character.
func nameCharacter(character rune) rune {
	character = unicode.ToLower(character)
	if character >= 'a' && character <= 'z' || character >= '0' && character <= '9' {
		return character
	}
	return '-'
}
