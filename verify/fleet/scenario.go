package fleet

import "context"

// Scenario is a sequence of faults and configuration changes under load.
type Scenario struct {
	// Help is the description that wtverify prints.
	Help string
	// HotShare is the fraction of the requests that have the same prompt prefix. DisconnectShare is the fraction whose
	// clients disconnect early. RetryShare is the fraction of the at-most-once requests that clients retry, in any zone.
	// All default to 0.
	HotShare, DisconnectShare, RetryShare float64
	// Steps returns the steps for a deployment, in order. A nil function means no steps.
	Steps func(deployment Deployment) []Step
}

// Step is a list of actions with a start time. A step whose time has passed when the previous one ends starts at once.
type Step struct {
	// At is the start time, as a fraction of the load's duration.
	At      float64
	Actions []Action
}

// Action is one operation on a fleet under load. An error ends the scenario. A configuration change that is not
// accepted is an error only if the scenario depends on it.
type Action func(ctx context.Context, run *ScenarioRun) error

// at returns a step that starts at a fraction of the load's duration.
func at(fraction float64, actions ...Action) Step { return Step{At: fraction, Actions: actions} }

// steps returns a Scenario.Steps function that returns the same steps for each deployment.
func steps(all ...Step) func(Deployment) []Step { return func(Deployment) []Step { return all } }

// stepsFor returns the scenario's steps for a deployment.
func (scenario Scenario) stepsFor(deployment Deployment) []Step {
	if scenario.Steps == nil {
		return nil
	}
	return scenario.Steps(deployment)
}

// Scenarios maps the names of all scenarios to their definitions.
var Scenarios = map[string]Scenario{
	"calm": {Help: "no faults; a fleet to inspect with wtctl"},
	"default": {
		Help:  "kill a runner, a data daemon and a disk machine's core, and change the spec meanwhile",
		Steps: killOneOfEach,
	},
	"crowd":   {Help: "five times the requests for a quarter of the time", Steps: overload},
	"hot-key": {Help: "nine of ten requests have the same prompt prefix", HotShare: 0.9},

	"runner-dark":    {Help: "two runners read requests without answering", Steps: runnersUnresponsive},
	"runner-partial": {Help: "a runner aborts its streams, another becomes slow", Steps: runnersFaulty},
	"address-reused": {
		Help:  "a runner crashes and a runner of another service answers at its address",
		Steps: addressReused,
	},
	"rolling-release": {
		Help:  "every runner is drained and replaced by one with a new identity, one after the other",
		Steps: rollingRelease,
	},

	"daemon-frozen": {
		Help:  "data daemons are frozen for seconds and resumed, while the spec changes",
		Steps: daemonsFrozen,
	},
	"daemon-killed": {Help: "data daemons are killed and restarted", Steps: daemonsKilled},
	"requesters-leave": {
		Help:            "half of the clients disconnect early, under overload and with a dark runner and frozen daemons",
		DisconnectShare: 0.5,
		Steps:           clientsDisconnect,
	},

	"sent-again": {
		Help:       "clients retry while all daemons are restarted, a zone is frozen and all processes are killed",
		RetryShare: 0.5,
		Steps:      retriesDuringRestarts,
	},

	"core-frozen": {Help: "the head is frozen during changes and resumed", Steps: coresFrozen},
	"core-wiped":  {Help: "a disk machine loses its disk and restarts without data", Steps: coreWiped},
	"core-swapped": {
		Help:  "each control machine in turn is replaced by one without data at a new address",
		Steps: coresSwapped,
	},
	"control-off": {Help: "the whole control plane is down for ten seconds; traffic goes on", Steps: controlPlaneDown},

	"zone-lost": {Help: "all machines of a zone are killed and restarted", Steps: zoneLost},
	"all-down":  {Help: "every process is killed at once and started again", Steps: allDown},
	"rolling-restart": {
		Help:  "every wtdata and wtcore is restarted by SIGTERM, one after the other",
		Steps: rollingRestart,
	},
	"fault-at-the-end": {
		Help:  "power is lost everywhere directly after an acknowledgement, at the very end",
		Steps: faultAtTheEnd,
	},

	"storm":        {Help: "two operators send concurrent changes without pauses", Steps: concurrentChanges},
	"many-routes":  {Help: "thousands of routes are added at once", Steps: manyRoutes},
	"zones-closed": {Help: "zones are closed and opened again", Steps: zonesClosed},
}
