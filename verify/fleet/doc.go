// Package fleet runs a complete deployment as real processes on loopback, puts it through a scenario of faults under
// load, and judges everything that was observed.
//
// Prove does all of that. A Deployment says which machines, zones and runners there are; New lays it out as a Fleet:
// a Machine has an address of its own, a Process for wtdata and, where it has a disk, one for wtcore. Runners are
// emulated (package emulator), clients come from package loadtest, an Operator changes the configuration. All of
// them record what they see in one histories.History, which its rules judge.
//
// A Scenario is a list of steps, each at a part of the load's length, made of actions on the Stage: kill this
// process, freeze that one, start a runner, apply a change. Each action that does harm records it, since the rules
// excuse what a fault touched and nothing else.
//
// A Fleet owns its processes, runners and sockets from New to Stop. The context given to Prove ends all of them
// early. The machines' addresses are fixed by the deployment, so that one machine can run each deployment once at a
// time.
package fleet
