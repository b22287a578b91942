package config

import (
	"maps"
	"slices"

	"github.com/mailru/easyjson"
)

// Diff returns a line for each entry that is added or removed between two documents: "+" or "-", the kind and name of
// the entry, and its JSON. A changed entry has two lines: the former entry with "-" and the new one with "+".
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

// encodedEntries maps the kind and name of each entry of a document to its JSON, with tenants' keys replaced by hashes.
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
	// Limits and annotations count as entries only if they are set; otherwise an empty document would have entries.
	if spec.Limits != (Limits{}) {
		add("limits", &spec.Limits)
	}
	if len(spec.Annotations) > 0 {
		add("annotations", spec.Annotations)
	}
	return entries
}
