package connpool

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"wardtray/transport/netio"
)

// fakeConn counts how often it was closed; nothing is read from it or written to it.
type fakeConn struct {
	netio.Conn
	closes int
	idle   bool
}

func (conn *fakeConn) Close() error {
	conn.closes++
	return nil
}

func (conn *fakeConn) Idle() bool { return conn.idle }

var epoch = time.Unix(1_700_000_000, 0)

func now() time.Time { return epoch }

// fakeConnection returns a connection that was last active at epoch.
func fakeConnection(address string) (*Connection, *fakeConn) {
	raw := &fakeConn{idle: true}
	environment := netio.Environment{Now: now}
	connection := &Connection{Conn: raw, pool: New(environment, ""), address: address, idleSince: epoch}
	connection.Reader = bufio.NewReader(strings.NewReader(""))
	connection.touch()
	return connection, raw
}

// An idle connection must be returned to one caller only, and only if it leads to the address and its peer has not
// closed it.
func TestTakeIdleClosesWhatIsNotReusable(t *testing.T) {
	connections := &runnerConnections{}
	reusable, _ := fakeConnection("a")
	otherAddress, otherRaw := fakeConnection("b")
	closed, closedRaw := fakeConnection("a")
	closedRaw.idle = false
	for _, connection := range []*Connection{reusable, otherAddress, closed} {
		connections.addBusy(connection)
		connections.putIdle(connection, true)
	}
	if taken := connections.takeIdle("a", now); taken != reusable {
		t.Fatalf("takeIdle returned %v instead of the reusable connection", taken)
	}
	if otherRaw.closes != 1 || closedRaw.closes != 1 {
		t.Errorf("the unusable connections were closed %d and %d times, want 1 and 1", otherRaw.closes, closedRaw.closes)
	}
	if again := connections.takeIdle("a", now); again != nil {
		t.Errorf("takeIdle returned %v, want no connection", again)
	}
}

// A connection that was aborted while in use, or that exceeds maximumIdle, must not become idle.
func TestPutIdleClosesWhatIsNotKept(t *testing.T) {
	connections := &runnerConnections{}
	aborted, abortedRaw := fakeConnection("a")
	connections.putIdle(aborted, true)
	if abortedRaw.closes != 1 || len(connections.idle) != 0 {
		t.Error("a connection that was not in use became idle")
	}
	for number := range maximumIdle + 1 {
		connection, raw := fakeConnection("a")
		connections.addBusy(connection)
		connections.putIdle(connection, true)
		if isExcess := number == maximumIdle; isExcess != (raw.closes == 1) {
			t.Errorf("connection %d was closed %d times", number, raw.closes)
		}
	}
}

// The entry of a runner may be removed only if none of its connections is in use.
func TestCloseIdleReportsUnusedEntries(t *testing.T) {
	connections := &runnerConnections{}
	connection, raw := fakeConnection("a")
	connections.addBusy(connection)
	calls := 0
	connections.closeIdle(func() { calls++ })
	if calls != 0 || raw.closes != 0 {
		t.Error("closeIdle closed a connection in use, or reported its entry as unused")
	}
	connections.putIdle(connection, true)
	connections.closeIdle(func() { calls++ })
	if calls != 1 || raw.closes != 1 {
		t.Errorf("unused called %d times and connection closed %d times, want 1 and 1", calls, raw.closes)
	}
}
