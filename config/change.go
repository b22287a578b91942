package config

import (
	"fmt"
	"strings"
)

// ParseChange reads an operator's change: unknown and repeated keys are Malformed errors, more than MaximumBytes is
// TooLarge. It does not check values; see Change.Apply.
func ParseChange(content []byte) (*Change, error) {
	parsed := &Change{}
	if err := parseStrictly(content, "change", parsed); err != nil {
		return nil, err
	}
	return parsed, nil
}

// Encode returns the canonical form.
func (change *Change) Encode() []byte { return encode(change) }

// Apply returns the document that results from the change to a present one, which is not modified, and every problem of
// the change and of the result. A replaced entry keeps its position; new entries come last, in the order of the change.
func (change *Change) Apply(present *Spec) (*Spec, []Problem) {
	merger := &merger{origins: map[string]string{}}
	upsert, remove := &change.Upsert, &change.Remove
	next := *present
	next.Zones = merge(merger, listChange[Zone]{"zones", present.Zones, upsert.Zones, remove.Zones, zoneName})
	next.Backends = merge(merger,
		listChange[Backend]{"pools", present.Backends, upsert.Backends, remove.Backends, backendName})
	next.Routes = merge(merger, listChange[Route]{"lanes", present.Routes, upsert.Routes, remove.Routes, routeName})
	next.Tenants = merge(merger,
		listChange[Tenant]{"tenants", present.Tenants, upsert.Tenants, remove.Tenants, tenantName})
	if change.Limits != nil {
		next.Limits = *change.Limits
	}
	next.Annotations = present.Annotations.with(change.Annotations)
	for _, problem := range next.Check() {
		problem.Path = merger.origin(problem.Path)
		merger.problems = append(merger.problems, problem)
	}
	return &next, merger.problems
}

func zoneName(zone *Zone) string          { return zone.Name }
func backendName(backend *Backend) string { return backend.Name }
func routeName(route *Route) string       { return route.Name }
func tenantName(tenant *Tenant) string    { return tenant.Name }

// merger applies a change to the lists of a document. It collects the problems of the change itself, and records which
// entries of the result come from the change.
type merger struct {
	checker
	// origins maps the path of an entry of the result to its path in the change.
	origins map[string]string
}

// origin translates a path in the result to the path in the change, which the author of the change knows. Paths of
// entries that are not from the change are returned unchanged.
func (merger *merger) origin(path string) string {
	entry, rest, _ := strings.Cut(path, "]")
	if origin, found := merger.origins[entry+"]"]; found {
		return origin + rest
	}
	return path
}

// listChange is the change of one list of a document.
type listChange[Entry any] struct {
	// list is the list's key in the document.
	list            string
	present, upsert []Entry
	remove          []string
	name            func(*Entry) string
}

// path returns the path, in the change, of the upserted entry at an index.
func (change listChange[Entry]) path(index int) string {
	return fmt.Sprintf("upsert.%s[%d]", change.list, index)
}

// index maps the names of the upserted entries to their indices, and reports duplicate names and names also removed.
func (change listChange[Entry]) index(merger *merger, removed map[string]bool) map[string]int {
	indices := map[string]int{}
	for i := range change.upsert {
		name := change.name(&change.upsert[i])
		if _, twice := indices[name]; twice {
			merger.report(change.path(i)+".name", "%q is there twice", name)
		}
		if removed[name] {
			merger.report(change.path(i)+".name", "%q is to be removed as well", name)
		}
		indices[name] = i
	}
	return indices
}

// merge returns a list with the change applied, and records the origins of the entries that come from the change.
func merge[Entry any](merger *merger, change listChange[Entry]) []Entry {
	removed := map[string]bool{}
	for _, name := range change.remove {
		removed[name] = true
	}
	upserted := change.index(merger, removed)
	merged := make([]Entry, 0, len(change.present)+len(change.upsert))
	add := func(index int) {
		merger.origins[fmt.Sprintf("%s[%d]", change.list, len(merged))] = change.path(index)
		merged = append(merged, change.upsert[index])
	}
	replaced := map[string]bool{}
	for i := range change.present {
		name := change.name(&change.present[i])
		if index, found := upserted[name]; found {
			replaced[name] = true
			add(index)
			continue
		}
		if !removed[name] {
			merged = append(merged, change.present[i])
		}
	}
	for i := range change.upsert {
		// Duplicate names were reported as problems; the last entry of a name is added.
		if name := change.name(&change.upsert[i]); !replaced[name] && upserted[name] == i {
			add(i)
		}
	}
	return merged
}
