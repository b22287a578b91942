package config

import (
	"maps"
	"slices"

	"github.com/mailru/easyjson"
)

// Diff returns the entries that are added, removed or changed from one document to another, a line each: "+" or "-",
// the kind and name of the entry, and its JSON. An entry that changed has a line for each of its two forms.
func Diff(from, to *Spec) []string {
	before, after := encodedEntries(from), encodedEntries(to)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var changes []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if before[name] == after[name] {
			continue
		}
		if before[name] != "" {
			changes = append(changes, "- "+name+" "+before[name])
		}
		if after[name] != "" {
			changes = append(changes, "+ "+name+" "+after[name])
		}
	}
	return changes
}

// encodedEntries maps the kind and name of each entry of a document to its JSON, in which no key of a tenant is shown.
func encodedEntries(spec *Spec) map[string]string {
	entries := map[string]string{}
	add := func(name string, entry easyjson.Marshaler) { entries[name] = string(encode(entry)) }
	for i := range spec.Zones {
		add("zone "+spec.Zones[i].Name, &spec.Zones[i])
	}
	for i := range spec.Backends {
		add("pool "+spec.Backends[i].Name, &spec.Backends[i])
	}
	for i := range spec.Routes {
		add("lane "+spec.Routes[i].Name, &spec.Routes[i])
	}
	for _, tenant := range spec.Tenants {
		tenant.KeyHashes, tenant.Keys = hashKeys(diffSalt, tenant.Keys), nil
		add("tenant "+tenant.Name, &tenant)
	}
	// Limits and annotations that are not set are no entries, or an empty document would have some.
	if spec.Limits != (Limits{}) {
		add("limits", &spec.Limits)
	}
	if len(spec.Annotations) > 0 {
		add("annotations", spec.Annotations)
	}
	return entries
}
