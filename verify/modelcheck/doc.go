// Package modelcheck explores the states of the control plane of a small fleet. It runs the product's state machines
// (node.Node and controller.Controller, which include views, leases, the chain, joining, decommissioning,
// acknowledgements and snapshots) and models the network, the disks, the clock and the operators. An explorer takes
// one action at a time (deliver, lose or delay a message, sync a disk, advance the clock, stop or start a process,
// lose a disk, cut a link) and checks five properties after each action:
//
//	P1 an isolated machine grants, refuses and confirms nothing: at most one machine leads at a time, a read returns no
//	   state older than what was acknowledged before the read began, and from the acknowledgement of a change on, no
//	   daemon that reaches a control machine assigns work under an older epoch (a daemon that reached none has
//	   lease.DaemonTTL from when it reaches one again)
//	P2 of two changes with the same base at most one is acknowledged, and no outcome is ever reversed
//	P3 an acknowledged change survives the loss of one disk while all other machines lose power, at any moment
//	P4 no machine leads, transfers state to another or joins the chain with less history than was acknowledged
//	P5 each response reaches its own request, once, and an operation is entered in the history once
//
// and agreement: one document for each sequence number, one view for each epoch.
//
// Up to a small depth, which the search prints, every order of actions is tried. Beyond it the search continues at
// random, from a seed, up to the scenario's depth. A scenario begins with a fleet that has been founded, serves, and
// holds acknowledged changes.
//
// Not explored: clock drift, damaged files (see package snapshot), the transport, the registry of runners, and the
// order of messages of kinds that a scenario does not name, which are delivered in the order in which they are sent.
// Time advances in steps of 100 ms; a message takes no time unless it is held. A state is identified by a hash of
// everything that the machines hold, read by reflection; see walker for what the hash leaves out.
package modelcheck
