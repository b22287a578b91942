package connpool

import (
	"net"
	"sync"
	"time"
)

// StallHandler is notified when the runner of a connection has sent nothing for too long while its response is awaited.
// Its implementation must be comparable.
type StallHandler interface {
	// Stalled is called by the goroutine that reads from the connection, at most once in each wait. The connection goes
	// on reading when it returns.
	Stalled()
}

// readWait is the wait of a connection for bytes of its runner: until stall its reads wait undisturbed, then its
// handler is notified, and reads go on until the deadline. One goroutine reads; others may suspect or interrupt it.
type readWait struct {
	mutex sync.Mutex
	// handler is the handler of the current wait; nil if there is none. notified reports whether it was notified.
	handler  StallHandler
	notified bool
	// stall is the time at which the handler is notified. deadline ends the wait; zero: never.
	stall, deadline time.Time
	// suspected reports that the handler is to be notified before stall, interrupted that the read is to end.
	suspected, interrupted bool
}

// expired is a deadline in the past; setting it ends a pending read.
var expired = time.Unix(1, 0)

// begin replaces the current wait; handler may be nil.
func (wait *readWait) begin(conn net.Conn, handler StallHandler, stall, deadline time.Time) error {
	wait.mutex.Lock()
	defer wait.mutex.Unlock()
	wait.handler, wait.notified = handler, false
	wait.stall, wait.deadline = stall, deadline
	wait.suspected, wait.interrupted = false, false
	return conn.SetDeadline(wait.next())
}

// next returns the time at which a pending read is to return. The caller holds the mutex.
func (wait *readWait) next() time.Time {
	if wait.handler != nil && !wait.notified && wait.stall.Before(wait.deadline) {
		return wait.stall
	}
	return wait.deadline
}

// resume is called after a read has timed out. It notifies the handler if that is due, and reports whether the read is
// to go on.
func (wait *readWait) resume(conn net.Conn, now func() time.Time) bool {
	stalled, goesOn := wait.check(now())
	if !goesOn {
		return false
	}
	if stalled != nil {
		stalled.Stalled()
	}
	wait.mutex.Lock()
	defer wait.mutex.Unlock()
	return !wait.interrupted && conn.SetDeadline(wait.next()) == nil
}

// check returns the handler if it is to be notified now, and whether the wait goes on after that.
func (wait *readWait) check(now time.Time) (stalled StallHandler, goesOn bool) {
	wait.mutex.Lock()
	defer wait.mutex.Unlock()
	if wait.interrupted || wait.handler == nil || !now.Before(wait.deadline) {
		return nil, false
	}
	if wait.notified || !wait.suspected && now.Before(wait.stall) {
		return nil, true
	}
	wait.notified = true
	return wait.handler, true
}

// suspect makes a pending read notify its handler now.
func (wait *readWait) suspect(conn net.Conn) {
	wait.mutex.Lock()
	defer wait.mutex.Unlock()
	if wait.handler != nil && !wait.notified {
		wait.suspected = true
		_ = conn.SetReadDeadline(expired) // It fails only on a closed connection, whose read ends by itself.
	}
}

// interrupt ends a pending read, if its wait is still that of the handler.
func (wait *readWait) interrupt(conn net.Conn, handler StallHandler) {
	wait.mutex.Lock()
	defer wait.mutex.Unlock()
	if wait.handler == handler {
		wait.interrupted = true
		_ = conn.SetReadDeadline(expired) // It fails only on a closed connection, whose read ends by itself.
	}
}
