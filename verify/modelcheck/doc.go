// Package modelcheck searches the states of a small fleet's control plane. The machines are the real ones (node.Node
// and controller.Controller, and with them views, leases, chain, joining, leaving, acknowledgements and snapshots);
// what is modelled are the network, the disks, the time and the operators. An explorer takes one action after the other
// (deliver, lose or keep back a message, sync a disk, let time pass, end or start a process, lose a disk, cut a link)
// and checks the five properties after each:
//
//	P1 whoever is cut off hands out, refuses and confirms nothing: one machine leads at a time, no read is older than
//	   what was acknowledged before it was asked, and from the moment of an acknowledgement on no daemon that reaches a
//	   core machine awards by less (one that reached none for a while has Staleness from then on)
//	P2 of two changes on one base one at most is acknowledged, and no outcome is ever taken back
//	P3 what was acknowledged outlives the loss of one disk while all others lose their power, at any moment
//	P4 nobody leads, teaches or joins with less than was acknowledged
//	P5 an answer reaches the question it answers, once, and an operation is entered once
//
// and agreement: one document for each sequence, one view for each epoch.
//
// Every order is tried up to a few actions, which the search prints; beyond that it goes on at random, by a seed, up
// to the scenario's depth. Scenarios begin with a fleet that was founded, serves, and holds acknowledged changes.
//
// What is not explored: clocks that drift, damaged files (package snapshot), the transport, the registry of runners,
// and the order of messages that a scenario does not name, which are delivered as they are sent. Time passes by steps
// of 100 ms, and messages take none unless they are held back. A state is known by a hash of everything that the
// machines hold, read by reflection; see walker for what it leaves out.
package modelcheck
