package placement

import (
	"wardtray/verify/emulator"
	"wardtray/verify/loadtest"
)

// Settings are the two deployments on slot runners.
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
