package config

import (
	"fmt"
	"strings"

	"github.com/mailru/easyjson"

	"wardtray/apierror"
	"wardtray/strictjson"
)

// ParseChange reads a change strictly; Apply checks it.
func ParseChange(content []byte) (*Change, error) {
	if len(content) > MaximumBytes {
		return nil, apierror.New(apierror.TooLarge, "a change of %d bytes; at most %d", len(content), MaximumBytes)
	}
	if err := strictjson.Check(content); err != nil {
		return nil, err
	}
	parsed := &Change{}
	if err := easyjson.Unmarshal(content, parsed); err != nil {
		return nil, apierror.New(apierror.Malformed, "%v", err)
	}
	return parsed, nil
}

// Encode writes the change.
func (change *Change) Encode() []byte {
	content, err := easyjson.Marshal(change)
	if err != nil {
		panic(err) // Plain fields always marshal; anything else is a defect of ours.
	}
	return content
}

// Apply gives the spec that follows from another, which it does not touch, and every flaw of the change
// and of the whole. What is replaced keeps its place; what is new comes last, in the order given.
func (change *Change) Apply(present *Spec) (*Spec, []Problem) {
	checker := &checker{}
	origins := map[string]string{}
	next := *present
	next.Zones = merge(checker, origins, "zones", present.Zones, change.Upsert.Zones, change.Remove.Zones, func(zone *Zone) string { return zone.Name })
	next.Backends = merge(checker, origins, "pools", present.Backends, change.Upsert.Backends, change.Remove.Backends, func(backend *Pool) string { return backend.Name })
	next.Routes = merge(checker, origins, "lanes", present.Routes, change.Upsert.Routes, change.Remove.Routes, func(route *Route) string { return route.Name })
	next.Tenants = merge(checker, origins, "tenants", present.Tenants, change.Upsert.Tenants, change.Remove.Tenants, func(tenant *Tenant) string { return tenant.Name })
	if change.Limits != nil {
		next.Limits = *change.Limits
	}
	next.Annotations = Annotations{}
	for name, value := range present.Annotations {
		next.Annotations[name] = value
	}
	for name, value := range change.Annotations {
		next.Annotations[name] = value
		if string(value) == "null" {
			delete(next.Annotations, name)
		}
	}
	for _, flaw := range next.Check() {
		// Who wrote the change knows its places, and not those of the whole spec.
		entry, rest, _ := strings.Cut(flaw.Path, "]")
		if origin, found := origins[entry+"]"]; found {
			flaw.Path = origin + rest
		}
		checker.flaws = append(checker.flaws, flaw)
	}
	return &next, checker.flaws
}

// merge gives a list with entries replaced, added and removed, and tells where in the change those at
// each place came from.
func merge[Entry any](checker *checker, origins map[string]string, list string, present, upsert []Entry, remove []string, name func(*Entry) string) []Entry {
	gone := map[string]bool{}
	for _, removed := range remove {
		gone[removed] = true
	}
	fresh := map[string]int{}
	for place := range upsert {
		here, named := fmt.Sprintf("upsert.%s[%d]", list, place), name(&upsert[place])
		if _, twice := fresh[named]; twice {
			checker.flaw(here+".name", "%q is there twice", named)
		}
		if gone[named] {
			checker.flaw(here+".name", "%q is to be removed as well", named)
		}
		fresh[named] = place
	}
	merged := make([]Entry, 0, len(present)+len(upsert))
	add := func(place int) {
		origins[fmt.Sprintf("%s[%d]", list, len(merged))] = fmt.Sprintf("upsert.%s[%d]", list, place)
		merged = append(merged, upsert[place])
	}
	placed := map[string]bool{}
	for place := range present {
		named := name(&present[place])
		if replaced, found := fresh[named]; found {
			placed[named] = true
			add(replaced)
			continue
		}
		if !gone[named] {
			merged = append(merged, present[place])
		}
	}
	for place := range upsert {
		if named := name(&upsert[place]); !placed[named] && fresh[named] == place {
			add(place)
		}
	}
	return merged
}
