package config

import (
	"sort"

	"github.com/mailru/easyjson"
)

// Diff lists the entries that one spec adds to, takes from or changes in another, a line each.
func Diff(from, to *Spec) []string {
	old, fresh := entries(from), entries(to)
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range fresh {
		names[name] = true
	}
	ordered := make([]string, 0, len(names))
	for name := range names {
		ordered = append(ordered, name)
	}
	sort.Strings(ordered)
	var changes []string
	for _, name := range ordered {
		if old[name] == fresh[name] {
			continue
		}
		if old[name] != "" {
			changes = append(changes, "- "+name+" "+old[name])
		}
		if fresh[name] != "" {
			changes = append(changes, "+ "+name+" "+fresh[name])
		}
	}
	return changes
}

func entries(spec *Spec) map[string]string {
	entries := map[string]string{}
	add := func(name string, entry easyjson.Marshaler) {
		content, err := easyjson.Marshal(entry)
		if err != nil {
			panic(err) // Plain fields always marshal; anything else is a defect of ours.
		}
		entries[name] = string(content)
	}
	for place := range spec.Zones {
		add("zone "+spec.Zones[place].Name, &spec.Zones[place])
	}
	for place := range spec.Backends {
		add("pool "+spec.Backends[place].Name, &spec.Backends[place])
	}
	for place := range spec.Routes {
		add("lane "+spec.Routes[place].Name, &spec.Routes[place])
	}
	for place := range spec.Tenants {
		shown := spec.Tenants[place]
		shown.KeyHashes, shown.Keys = hashes(diffSalt, shown.Keys), nil
		add("tenant "+shown.Name, &shown)
	}
	// What a spec does not bound or annotate is no entry, or an empty spec would have one.
	if spec.Limits != (Limits{}) {
		add("limits", &spec.Limits)
	}
	if len(spec.Annotations) > 0 {
		add("annotations", spec.Annotations)
	}
	return entries
}
