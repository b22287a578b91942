// Package linearizability checks whether the history of a fleet's callers is linearizable: whether their calls can be
// ordered, each at one moment between its start and its end, so that a single machine would have given the same
// answers. Porcupine does the search; this package defines the two models: the operators' configuration (Call), and
// at-most-once requests (ClientAttempt).
//
// A Recording is such a history. It is stored as JSON, so that "wtverify histories" can check and draw a history of
// real processes again.
package linearizability
