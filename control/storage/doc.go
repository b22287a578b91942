// Package storage gives the control node's state machine a disk. The node itself does no I/O: a step of it leaves
// writes behind, the process that steps it puts them into a WriteQueue, and one goroutine carries them out.
//
// # Recovery
//
// A data folder is read into a Recovery: the node's durable state and the records that were logged after it. It has
// only what the disk keeps, since everything is synced before it is returned. A folder that is blank, or whose
// content can't be trusted, starts a new identity; untrusted content is set aside, not deleted. A start may retry for
// a bounded time while the disk fails.
//
// # Writes
//
// A write is a record, which is appended to the log; a complete state, which goes to the other slot and starts a log;
// or a scrub, which reads everything back and compares it with what must be there. Writes carry ascending sequence
// numbers and are carried out in that order. Records that stand side by side in a batch share one sync. A completion
// is reported with the sequence of the last write that is synced, and stands for every write before it.
//
// # Failures
//
// After a failed write nobody knows what the disk holds, so nothing later is written or reported as synced until a
// complete state is written, which contains whatever was lost. The node is notified of each failure and answers with
// such a state. The same holds for a queue that overflows: it rejects every write until it accepts a complete state,
// so that no write passes one that was dropped.
//
// # Bounds
//
// The queue has a fixed length and never blocks the node. A batch has at most 256 writes.
package storage
