package placement

import (
	"wardtray/verify/emulator"
	"wardtray/verify/loadtest"
)

// Settings holds the fleets of the guild and ferries deployments with slot runners; the caller sets the other fields.
var Settings = map[string]Setting{
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
