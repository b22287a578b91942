package connpool

import (
	"sync"
	"time"
)

// maximumIdle is how many idle connections are kept for each runner.
const maximumIdle = 16

// runnerTable maps runners' identities to their connections.
type runnerTable struct{ entries sync.Map }

// get returns the connections of a runner, with an empty entry added if there is none.
func (table *runnerTable) get(runner string) *runnerConnections {
	entry, _ := table.entries.LoadOrStore(runner, &runnerConnections{})
	connections, _ := entry.(*runnerConnections) // The table holds no other type.
	return connections
}

// each calls a function for each runner, in no order.
func (table *runnerTable) each(do func(runner string, connections *runnerConnections)) {
	table.entries.Range(func(key, entry any) bool {
		runner, _ := key.(string)                    // The table has no other keys,
		connections, _ := entry.(*runnerConnections) // and holds no other type.
		do(runner, connections)
		return true
	})
}

// remove drops the entry of a runner.
func (table *runnerTable) remove(runner string) { table.entries.Delete(runner) }

// runnerConnections holds the connections to one runner: the idle ones, and those in use.
type runnerConnections struct {
	mutex sync.Mutex
	idle  []*Connection
	busy  []*Connection
}

// takeIdle returns the idle connection that was used last, or nil if none can be reused. Those that can't be reused are
// closed on the way.
func (connections *runnerConnections) takeIdle(address string, now func() time.Time) *Connection {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for len(connections.idle) > 0 {
		last := len(connections.idle) - 1
		connection := connections.idle[last]
		connections.idle = connections.idle[:last]
		if connection.reusable(address, now()) {
			connections.busy = append(connections.busy, connection)
			return connection
		}
		_ = connection.Conn.Close() // Nobody uses it.
	}
	return nil
}

// addBusy adds a new connection that is in use.
func (connections *runnerConnections) addBusy(connection *Connection) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.busy = append(connections.busy, connection)
}

// putIdle turns a connection in use into an idle one, or closes it if it is not reusable, was aborted meanwhile, has
// unread bytes, or if enough connections are idle.
func (connections *runnerConnections) putIdle(connection *Connection, reusable bool) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	wasBusy := connections.removeBusy(connection)
	full := len(connections.idle) >= maximumIdle
	if !wasBusy || !reusable || full || connection.Reader.Buffered() > 0 {
		_ = connection.Conn.Close() // Nobody uses it.
		return
	}
	connections.idle = append(connections.idle, connection)
}

// release drops a connection in use, which its user closes.
func (connections *runnerConnections) release(connection *Connection) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.removeBusy(connection)
}

// removeBusy removes a connection from those in use and reports whether it was among them. The caller holds the mutex.
func (connections *runnerConnections) removeBusy(connection *Connection) bool {
	for index, busy := range connections.busy {
		if busy == connection {
			connections.busy = append(connections.busy[:index], connections.busy[index+1:]...)
			return true
		}
	}
	return false
}

// abortInactive aborts all connections but those in use that were active a moment ago.
func (connections *runnerConnections) abortInactive(now time.Time, abort func(connection *Connection)) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	var active []*Connection
	for _, connection := range connections.busy {
		if connection.inactivity(now) < activeWindow {
			active = append(active, connection)
			continue
		}
		abort(connection)
	}
	for _, connection := range connections.idle {
		abort(connection)
	}
	connections.idle, connections.busy = nil, active
}

// unresponsive reports whether a response is awaited on a connection that has been inactive for the threshold, and
// no response is arriving on another.
func (connections *runnerConnections) unresponsive(now time.Time, threshold time.Duration) bool {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	awaited := false
	for _, connection := range connections.busy {
		inactive := connection.inactivity(now) >= threshold
		if !inactive && !connection.awaitingResponse.Load() {
			return false
		}
		awaited = awaited || inactive && connection.awaitingResponse.Load()
	}
	return awaited
}

// abortRetryable aborts the connections on which a retryable request awaits its response and which have been inactive
// for the threshold.
func (connections *runnerConnections) abortRetryable(
	now time.Time, threshold time.Duration, abort func(connection *Connection),
) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for _, connection := range connections.busy {
		waiting := connection.awaitingResponse.Load() && connection.retryable.Load()
		if waiting && connection.inactivity(now) >= threshold {
			abort(connection)
		}
	}
}

// closeIdle closes the idle connections and calls a function, under the mutex, if none is in use.
func (connections *runnerConnections) closeIdle(unused func()) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for _, connection := range connections.idle {
		_ = connection.Conn.Close() // Nobody uses it.
	}
	connections.idle = nil
	if len(connections.busy) == 0 {
		unused()
	}
}
