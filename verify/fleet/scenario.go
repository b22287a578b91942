package fleet

import "context"

// Scenario is a named course of faults and changes under load.
type Scenario struct {
	Help string
	// Hot is the part of the requests that carry one and the same opening, Leaves that whose clients leave early, Resends
	// that of those which run at most once whose clients send them again, to any zone.
	Hot, Leaves, Resends float64
	// Steps returns what is done to a deployment, in order; nil where nothing is.
	Steps func(deployment Deployment) []Step
}

// Step is what is done at one time. A step whose time has passed when the one before is done comes at once.
type Step struct {
	// At is when, as a part of the load's length.
	At      float64
	Actions []Action
}

// Action does one thing to a fleet under load. An error ends the scenario; a change that is not accepted is none,
// unless the scenario relies on it.
type Action func(ctx context.Context, stage *Stage) error

// at returns a step.
func at(part float64, actions ...Action) Step { return Step{At: part, Actions: actions} }

// steps returns the steps of a scenario that are the same for each deployment.
func steps(all ...Step) func(Deployment) []Step { return func(Deployment) []Step { return all } }

// stepsFor returns the steps for a deployment.
func (scenario Scenario) stepsFor(deployment Deployment) []Step {
	if scenario.Steps == nil {
		return nil
	}
	return scenario.Steps(deployment)
}

// Scenarios are all that a real fleet is put through, by name.
var Scenarios = map[string]Scenario{
	"calm": {Help: "no fault at all; a fleet to look at with wtctl"},
	"default": {
		Help:  "kill a runner, a data daemon and a disk machine's core, and change the spec meanwhile",
		Steps: oneOfEach,
	},
	"crowd":   {Help: "five times the requests for a quarter of the time", Steps: overload},
	"hot-key": {Help: "nine requests of ten carry one opening", Hot: 0.9},

	"runner-dark":    {Help: "two runners read requests and never answer", Steps: runnersUnresponsive},
	"runner-partial": {Help: "a runner breaks its streams in the middle, another becomes slow", Steps: runnersFaulty},
	"address-reused": {
		Help:  "a runner crashes and a stranger of another service answers at its address",
		Steps: addressReused,
	},
	"rolling-release": {
		Help:  "every runner is drained and comes back under a new identity, one after the other",
		Steps: rollingRelease,
	},

	"daemon-frozen": {
		Help:  "data daemons are frozen for seconds and woken, while the spec changes",
		Steps: daemonsFrozen,
	},
	"daemon-killed": {Help: "data daemons are killed and come back", Steps: daemonsKilled},
	"requesters-leave": {
		Help:   "half of the requesters leave early, while a crowd comes, a runner is dark and daemons are frozen",
		Leaves: 0.5,
		Steps:  clientsLeave,
	},

	"sent-again": {
		Help:    "clients send again while all daemons are restarted, a zone is frozen and all processes are killed",
		Resends: 0.5,
		Steps:   sentAgain,
	},

	"core-frozen": {Help: "the head is frozen in the middle of changes and woken", Steps: coresFrozen},
	"core-wiped":  {Help: "a disk machine loses its disk and comes back blank", Steps: coreWiped},
	"core-swapped": {
		Help:  "every control machine in turn is swapped for a blank one at a new address",
		Steps: coresSwapped,
	},
	"control-off": {Help: "the whole control plane is down for ten seconds; traffic goes on", Steps: controlOff},

	"zone-lost": {Help: "all machines of a zone are killed and come back", Steps: zoneLost},
	"all-down":  {Help: "every process is killed at once and started again", Steps: allDown},
	"rolling-restart": {
		Help:  "every wtdata and wtcore is restarted by SIGTERM, one after the other",
		Steps: rollingRestart,
	},
	"fault-at-the-end": {
		Help:  "power is lost everywhere directly after an acknowledgement, at the very end",
		Steps: faultAtTheEnd,
	},

	"storm":        {Help: "two operators race each other as fast as they can", Steps: storm},
	"many-routes":  {Help: "thousands of lanes are added at once", Steps: manyRoutes},
	"zones-closed": {Help: "zones are closed and opened again", Steps: zonesClosed},
}
