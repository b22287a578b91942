package placement

import (
	"wardtray/verify/emulator"
	"wardtray/verify/loadtest"
)

// SlotExperiments holds the fleets of the guild and ferries deployments with slot runners; the caller sets the other
// fields.
var SlotExperiments = map[string]SlotExperiment{
	"guild": {
		Mix:     loadtest.Guild,
		Zones:   []string{"a", "b", "c"},
		Daemons: 12,
		Runners: 18,
		Profile: emulator.DefaultProfile,
	},
	"ferries": {
		Mix:     loadtest.Ferries,
		Zones:   []string{"a", "b", "c", "d"},
		Daemons: 11,
		Runners: 18,
		Profile: emulator.DefaultProfile,
	},
}
