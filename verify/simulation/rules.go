package simulation

import (
	"time"

	"wardtray/verify/loadtest"
)

// GuildPath and FerriesPath are the two deployments with their request paths.
var (
	GuildPath   = Guild.With(loadtest.Guild)
	FerriesPath = Ferries.With(loadtest.Ferries)
)

// RuleScenario is a request scenario that provokes a violation of one part of a rule of the users' requirements.
type RuleScenario struct {
	// Faults are the kinds of fault that can cause the violation.
	Faults []string
	change func(scenario *RequestScenario)
}

// RequestScenario returns the rule scenario as a request scenario, with faults for the given duration.
func (rule RuleScenario) RequestScenario(length time.Duration) RequestScenario {
	scenario := DefaultRequestScenario
	scenario.Faults, scenario.Length = rule.Faults, length
	if rule.change != nil {
		rule.change(&scenario)
	}
	return scenario
}

// RuleScenarioNames returns the names of all rule scenarios in order.
func RuleScenarioNames() []string { return sorted(RuleScenarios) }

// changeOften sends many changes, most of which remove something that requests need.
func changeOften(scenario *RequestScenario) {
	scenario.Every, scenario.TakeAway = 800*time.Millisecond, 0.6
}

// changeSeldom sends changes so rarely that an entry that one of them removes is mostly missing for longer than
// histories.ZoneBound.
func changeSeldom(scenario *RequestScenario) { scenario.Every, scenario.TakeAway = 8*time.Second, 0.8 }

// resendOften makes many clients send their requests again, to daemons of all zones, some without declaring it.
func resendOften(scenario *RequestScenario) {
	scenario.Retries, scenario.RetriesElsewhere, scenario.Undeclared = 0.2, 0.4, 0.15
}

// RuleScenarios has one entry for each part of each point of "What must never happen" in the users' requirements.
// docs/rules.md names for each of them the faulty code that makes it fail.
var RuleScenarios = map[string]RuleScenario{
	"run twice": {Faults: []string{"runner fails", "runner killed", "runner frozen", "runner deaf"}},
	"run twice, sent again": {
		Faults: []string{"data killed", "runner killed"},
		change: func(scenario *RequestScenario) { scenario.Retries = 0.3 },
	},
	"restarted, sent again": {
		Faults: []string{"daemons restarted", "all restarted", "data killed", "zone lost"},
		change: resendOften,
	},
	"partitioned, sent again": {
		Faults: []string{"zone cut off", "data cut off", "data cut from control", "data frozen", "lossy network"},
		change: func(scenario *RequestScenario) {
			resendOften(scenario)
			scenario.AtOnce = 2
		},
	},
	"sent again in quiet times": {change: resendOften},
	"run after will not run":    {Faults: []string{"runner fails", "pool killed", "all put back"}},
	"not whole":                 {Faults: []string{"runner partial", "runner killed"}},
	"skip, repeat, splice":      {Faults: []string{"runner garbles", "runner partial"}},
	"service not allowed":       {Faults: []string{"data cut from control", "address taken"}, change: changeOften},
	"address reused":            {Faults: []string{"address taken", "runner replaced"}},
	"draining": {
		Faults: []string{"runner drained", "list older", "list stuck"},
		change: func(scenario *RequestScenario) { scenario.AtOnce = 2 },
	},
	"vanished": {Faults: []string{"runner delisted", "list half"}},
	"leaving beside a cut": {
		Faults: []string{"runner cut and delisted", "runner deaf", "runner delisted"},
		change: func(scenario *RequestScenario) { scenario.AtOnce = 2 },
	},
	"change ignored": {
		Faults: []string{"data cut off", "data cut from control", "data deaf", "data frozen"},
		change: changeOften,
	},
	"slips back": {
		Faults: []string{"data killed", "data cut from control", "zone cut off"},
		change: changeOften,
	},
	"refused, losing, invalid": {
		Faults: []string{"core killed", "core frozen", "core link cut one way"},
		change: changeOften,
	},
	"closed zone": {Faults: []string{"data cut off", "zone cut off", "runner deaf"}, change: changeSeldom},
	"repeats": {
		Faults: []string{"all put back", "pool killed", "uneven daemons", "runner fails"},
		change: func(scenario *RequestScenario) { scenario.AtOnce = 2 },
	},
	"cold runner": {
		Faults: []string{"pool killed", "runner replaced", "crowd", "hot key"},
		change: func(scenario *RequestScenario) { scenario.AtOnce = 3 },
	},
	"planned restart": {
		Faults: []string{"daemon drained", "runner drained", "crowd"},
		change: func(scenario *RequestScenario) { scenario.AtOnce = 2 },
	},
	"change under way": {Faults: []string{"crowd", "uneven daemons"}, change: changeOften},
	"forgotten": {
		Faults: []string{"power after acknowledgement", "all disks slow", "core wiped"},
		change: func(scenario *RequestScenario) { scenario.AtOnce, scenario.Every = 2, 700*time.Millisecond },
	},
	"down": {Faults: []string{"all down", "zone lost"}},
	"turned away": {
		Faults: []string{"control cut from data", "core killed", "list empty", "list silent", "hot key"},
	},
	"turned away after a cut": {
		Faults: []string{"control cut from data"},
		change: func(scenario *RequestScenario) { scenario.Every, scenario.Rate = 400*time.Millisecond, 240 },
	},
	"turned away after a crowd": {
		Faults: []string{"crowd"},
		change: func(scenario *RequestScenario) { scenario.Rate, scenario.TakeAway = 120, 0 },
	},
	"resumed": {
		Faults: []string{
			"runner killed",
			"runner partial",
			"runner frozen",
			"runner dark",
			"runner garbles",
			"runner unheard",
		},
		change: func(scenario *RequestScenario) {
			scenario.AtOnce, scenario.Mix = 2, loadtest.Mix.WithResumption
		},
	},
	"resumed beside changes": {
		Faults: []string{"runner partial", "runner drained", "data cut from control", "address taken"},
		change: func(scenario *RequestScenario) {
			changeOften(scenario)
			scenario.AtOnce, scenario.Mix = 2, loadtest.Mix.WithResumption
		},
	},
	"deadline": {
		Faults: []string{
			"runner mute",
			"runner dark",
			"runner deaf",
			"runner slow",
			"all put back",
			"pool killed",
			"data cut from control",
			"control cut from data",
			"address taken",
		},
		change: func(scenario *RequestScenario) { scenario.AtOnce, scenario.Mix = 2, loadtest.Mix.WithDeadlines },
	},
	"answers astray": {
		Faults: []string{
			"runner garbles",
			"runner late",
			"runner gives surplus answers",
			"connections reset",
			"daemon frozen for a moment",
			"runner partial",
		},
		change: func(scenario *RequestScenario) { scenario.AtOnce, scenario.Retries = 3, 0.1 },
	},
	"requesters leave": {
		Faults: []string{
			"daemon frozen for a moment",
			"data frozen",
			"crowd",
			"pool killed",
			"runner mute",
			"runner dark",
			"runner slow",
		},
		change: func(scenario *RequestScenario) {
			scenario.AtOnce, scenario.Rate, scenario.Disconnects, scenario.Mix = 2, 50, 0.6, loadtest.Mix.Cancelling
		},
	},
	"requesters leave, some runs go on": {
		Faults: []string{"runner killed", "runner partial", "runner garbles", "daemon frozen for a moment"},
		change: func(scenario *RequestScenario) {
			scenario.AtOnce, scenario.Disconnects, scenario.Retries, scenario.Mix = 2, 0.3, 0.1, loadtest.Mix.WithResumption
		},
	},
	"answer at once": {Faults: []string{"runner dark", "runner mute", "runner unheard", "address taken"}},
}
