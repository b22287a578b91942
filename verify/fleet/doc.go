// Package fleet runs a complete deployment as real processes on loopback, injects the faults of a scenario under
// load, and checks the recorded history.
//
// RunScenario does all of that. A Deployment lists the zones, machines and runners; New creates a Fleet from it: each
// Machine has its own address, a Process for wtdata and, if it has a disk, one for wtcore. Runners are emulated
// (package emulator), package loadtest simulates the clients, and an Operator changes the configuration. All of them
// record what they observe in one histories.History, which the rules of package histories check.
//
// A Scenario is a list of steps, each at a fraction of the load's duration. A step consists of actions on a
// ScenarioRun: kill or freeze a process, start a runner, apply a configuration change. Each action that injects a
// fault records it, because the rules tolerate failures only in what a recorded fault affects.
//
// A Fleet owns its processes, runners and sockets from New to Stop. Cancelling the context given to RunScenario ends
// all of them early. The deployment fixes the machines' addresses, so a host can run each deployment only once at a
// time.
package fleet
