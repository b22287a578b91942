// Package storage implements the durable storage of the control node's state machine. The node itself does no I/O: a
// step returns writes, the process that runs the step puts them into a WriteQueue, and one goroutine executes them.
//
// # Recovery
//
// A data folder is read into a Recovery: the node's durable state and the records that were logged after it. All of it
// is synced before it is returned. A folder that is blank, or whose content can't be trusted, gets a new identity;
// untrusted content is set aside, not deleted. A start may retry for a bounded time while the disk fails.
//
// # Writes
//
// A write is a record, which is appended to the log; a complete state, which is written to the other slot and starts a
// new log; or a scrub, which reads everything back and compares it with the expected content. Writes have ascending
// sequence numbers and are executed in that order. Consecutive records of a batch share one sync. A completion is
// reported with the sequence of the last write that is synced, and covers every write before it.
//
// # Failures
//
// After a failed write the content of the disk is unknown, so nothing later is written or reported as synced until a
// complete state is written, which contains whatever was lost. The node is notified of each failure and responds with
// such a state. The same holds for a queue that overflows: it rejects every write until it accepts a complete state,
// so that no write is executed after one that was dropped.
//
// # Bounds
//
// The queue has a fixed length and never blocks the node. A batch has at most 256 writes.
package storage
