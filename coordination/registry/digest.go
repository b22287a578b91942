package registry

import (
	"slices"
	"time"

	"wardtray/wire"
)

// digest returns the version of each live record in the table.
func (table *Table) digest(responseWanted bool) *wire.RunnerDigest {
	digest := &wire.RunnerDigest{ResponseWanted: responseWanted}
	for _, id := range table.ids() {
		if record := table.entries[id].record; live[record.State] {
			version := &wire.RunnerVersion{RunnerId: id, State: record.State, Call: record.Call}
			digest.Versions = append(digest.Versions, version)
		}
	}
	return digest
}

// missingIn returns the records that the sender of a digest lacks or has in an older version.
func (table *Table) missingIn(now time.Time, digest *wire.RunnerDigest) []*wire.Runner {
	theirs := map[string]*wire.RunnerVersion{}
	for _, version := range digest.Versions {
		theirs[version.RunnerId] = version
	}
	// A process that never knew a runner that is gone does not need its record, unless the process has just started:
	// another process that missed the end of the runner could otherwise send it the older record, in which the runner is
	// live.
	isStarting := len(digest.Versions) == 0
	var missing []*wire.Runner
	for _, id := range table.ids() {
		entry, version := table.entries[id], theirs[id]
		isMissing := version == nil && (live[entry.record.State] || isStarting)
		if isMissing || version != nil && compareVersions(entry.record, version) > 0 {
			missing = append(missing, entry.outgoing(now))
		}
	}
	return missing
}

// lacksAny reports whether a digest names a record that this table lacks or has in an older version.
func (table *Table) lacksAny(digest *wire.RunnerDigest) bool {
	return slices.ContainsFunc(digest.Versions, func(version *wire.RunnerVersion) bool {
		entry := table.entries[version.RunnerId]
		return entry == nil || compareVersions(version, entry.record) > 0
	})
}
