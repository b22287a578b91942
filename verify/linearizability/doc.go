// Package linearizability judges what callers saw of a fleet: whether there is an order of their calls, each at one
// moment between its start and its end, in which a single machine could have answered so. The search is porcupine's;
// this package has the two models: the operators' configuration (Call), and requests that run at most once (Sending).
//
// A Recording is what was seen. It is kept as JSON, so that a history of real processes can be judged again, and
// drawn, by wtverify histories.
package linearizability
