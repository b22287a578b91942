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

// Attempt is a trial that provokes a violation of one part of a rule of the users' requirements.
type Attempt struct {
	// Faults are the kinds of fault that can cause the violation.
	Faults []string
	change func(trial *Trial)
}

// Trial returns the attempt's trial, with faults for the given duration.
func (attempt Attempt) Trial(length time.Duration) Trial {
	trial := DefaultTrial
	trial.Faults, trial.Length = attempt.Faults, length
	if attempt.change != nil {
		attempt.change(&trial)
	}
	return trial
}

// AttemptNames returns the names of all attempts in order.
func AttemptNames() []string { return sorted(Attempts) }

// changeOften sends many changes, most of which remove something that requests need.
func changeOften(trial *Trial) { trial.Every, trial.TakeAway = 800*time.Millisecond, 0.6 }

// changeSeldom sends changes so rarely that what one removes mostly stays away for longer than histories.ZoneBound.
func changeSeldom(trial *Trial) { trial.Every, trial.TakeAway = 8*time.Second, 0.8 }

// resendOften makes many clients send their requests again, to daemons of all zones, some without declaring it.
func resendOften(trial *Trial) {
	trial.Retries, trial.RetriesElsewhere, trial.Undeclared = 0.2, 0.4, 0.15
}

// Attempts has one entry for each part of each point of "What must never happen" in the users' requirements.
// docs/rules.md names for each of them the faulty code that makes it fail.
var Attempts = map[string]Attempt{
	"run twice": {Faults: []string{"runner fails", "runner killed", "runner frozen", "runner deaf"}},
	"run twice, sent again": {
		Faults: []string{"data killed", "runner killed"},
		change: func(trial *Trial) { trial.Retries = 0.3 },
	},
	"restarted, sent again": {
		Faults: []string{"daemons restarted", "all restarted", "data killed", "zone lost"},
		change: resendOften,
	},
	"partitioned, sent again": {
		Faults: []string{"zone cut off", "data cut off", "data cut from control", "data frozen", "lossy network"},
		change: func(trial *Trial) {
			resendOften(trial)
			trial.AtOnce = 2
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
		change: func(trial *Trial) { trial.AtOnce = 2 },
	},
	"vanished": {Faults: []string{"runner delisted", "list half"}},
	"leaving beside a cut": {
		Faults: []string{"runner cut and delisted", "runner deaf", "runner delisted"},
		change: func(trial *Trial) { trial.AtOnce = 2 },
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
		change: func(trial *Trial) { trial.AtOnce = 2 },
	},
	"cold runner": {
		Faults: []string{"pool killed", "runner replaced", "crowd", "hot key"},
		change: func(trial *Trial) { trial.AtOnce = 3 },
	},
	"planned restart": {
		Faults: []string{"daemon drained", "runner drained", "crowd"},
		change: func(trial *Trial) { trial.AtOnce = 2 },
	},
	"change under way": {Faults: []string{"crowd", "uneven daemons"}, change: changeOften},
	"forgotten": {
		Faults: []string{"power after acknowledgement", "all disks slow", "core wiped"},
		change: func(trial *Trial) { trial.AtOnce, trial.Every = 2, 700*time.Millisecond },
	},
	"down": {Faults: []string{"all down", "zone lost"}},
	"turned away": {
		Faults: []string{"control cut from data", "core killed", "list empty", "list silent", "hot key"},
	},
	"turned away after a cut": {
		Faults: []string{"control cut from data"},
		change: func(trial *Trial) { trial.Every, trial.Rate = 400*time.Millisecond, 240 },
	},
	"turned away after a crowd": {
		Faults: []string{"crowd"},
		change: func(trial *Trial) { trial.Rate, trial.TakeAway = 120, 0 },
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
		change: func(trial *Trial) {
			trial.AtOnce, trial.Mix = 2, loadtest.Mix.WithResumption
		},
	},
	"resumed beside changes": {
		Faults: []string{"runner partial", "runner drained", "data cut from control", "address taken"},
		change: func(trial *Trial) {
			changeOften(trial)
			trial.AtOnce, trial.Mix = 2, loadtest.Mix.WithResumption
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
		change: func(trial *Trial) { trial.AtOnce, trial.Mix = 2, loadtest.Mix.WithDeadlines },
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
		change: func(trial *Trial) { trial.AtOnce, trial.Retries = 3, 0.1 },
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
		change: func(trial *Trial) {
			trial.AtOnce, trial.Rate, trial.Disconnects, trial.Mix = 2, 50, 0.6, loadtest.Mix.Cancelling
		},
	},
	"requesters leave, some runs go on": {
		Faults: []string{"runner killed", "runner partial", "runner garbles", "daemon frozen for a moment"},
		change: func(trial *Trial) {
			trial.AtOnce, trial.Disconnects, trial.Retries, trial.Mix = 2, 0.3, 0.1, loadtest.Mix.WithResumption
		},
	},
	"answer at once": {Faults: []string{"runner dark", "runner mute", "runner unheard", "address taken"}},
}
