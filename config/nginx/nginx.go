// Package nginx translates the upstreams and proxied locations of an nginx configuration into a configuration document
// for an operator to review. Every directive without a counterpart is reported in a note.
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

// Note describes something that the operator must know or decide.
type Note struct {
	// File and Line are the position of the directive.
	File string
	Line int
	Text string
}

// String returns the note with its position.
func (note Note) String() string { return fmt.Sprintf("%s:%d: %s", note.File, note.Line, note.Text) }

const (
	// defaultLatencyTarget is nginx's default for proxy_read_timeout.
	defaultLatencyTarget = 60 * time.Second
	// importedZone is the zone of all machines, since an nginx configuration has no zones.
	importedZone = "imported"
	// maximumName bounds the names made from upstreams and paths, in bytes, without the suffix of a duplicate.
	maximumName = 56
)

// Import reads a file and the files that it includes. A file that can't be read completely is a Malformed error that
// names the line; a configuration without an upstream, or without a location that passes to one, is an InvalidSpec
// error.
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
	// backends and routes hold the names in use.
	backends map[string]bool
	routes   map[string]bool
	// file is the path of the file being imported.
	file string
}

func newImporter() *importer {
	return &importer{
		spec:     config.Spec{Zones: []config.Zone{{Name: importedZone}}},
		backends: map[string]bool{},
		routes:   map[string]bool{},
	}
}

// handlers maps names of directives to their handlers. context names the blocks that enclose the directive.
type handlers map[string]func(directive *crossplane.Directive, context string)

// ignore is the handler of a directive that is handled in another pass.
func ignore(*crossplane.Directive, string) {}

// importFile imports one file. It handles upstreams first, since a location may name an upstream defined after it.
func (importer *importer) importFile(file crossplane.Config) {
	importer.file = file.File
	importer.walk(file.Parsed, "", handlers{"upstream": importer.upstream}, ignore)
	locations := handlers{"location": importer.location, "upstream": ignore}
	importer.walk(file.Parsed, "", locations, importer.unsupported)
}

// containers are the blocks without a meaning of their own, whose directives are handled.
var containers = map[string]bool{"http": true, "server": true, "stream": true}

// walk calls the handler of each directive by its name, or the handler other if it has none.
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

// note adds a note about a directive.
func (importer *importer) note(directive *crossplane.Directive, format string, values ...any) {
	file := directive.File
	if file == "" {
		file = importer.file
	}
	note := Note{File: file, Line: directive.Line, Text: fmt.Sprintf(format, values...)}
	importer.notes = append(importer.notes, note)
}

// unsupported adds a note that a directive has no counterpart.
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

// locationDirective applies a directive of a location to its route. It reports whether the directive has a counterpart.
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

// passTarget returns the host in the URL of a proxy_pass directive.
func passTarget(address string) string {
	address = strings.TrimPrefix(strings.TrimPrefix(address, "https://"), "http://")
	host, _, _ := strings.Cut(address, "/")
	return host
}

// parseTime parses a time in nginx's syntax. A number without a unit is in seconds.
func parseTime(text string) (time.Duration, error) {
	if duration, err := time.ParseDuration(text); err == nil {
		return duration, nil
	}
	return time.ParseDuration(text + "s")
}

// uniqueName makes a name from a text that is valid in a document and not taken, and adds it to the taken names.
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

// nameCharacter returns the lower case of an ASCII letter or digit, and a dash for any other character.
func nameCharacter(character rune) rune {
	character = unicode.ToLower(character)
	if character >= 'a' && character <= 'z' || character >= '0' && character <= '9' {
		return character
	}
	return '-'
}
