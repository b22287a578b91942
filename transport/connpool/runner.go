package connpool

import (
	"sync"
	"time"
)

// maximumIdle is the maximum number of idle connections that are kept for each runner.
const maximumIdle = 16

// runnerTable maps runner ids to connections.
type runnerTable struct{ entries sync.Map }

// get returns the connections of a runner and adds an empty entry if there is none.
func (table *runnerTable) get(runner string) *runnerConnections {
	entry, _ := table.entries.LoadOrStore(runner, &runnerConnections{})
	connections, _ := entry.(*runnerConnections) // The table holds no other type.
	return connections
}

// each calls a function for each runner, in no particular order.
func (table *runnerTable) each(do func(runner string, connections *runnerConnections)) {
	table.entries.Range(func(key, entry any) bool {
		runner, _ := key.(string)                    // Every key is a string.
		connections, _ := entry.(*runnerConnections) // Every value is of this type.
		do(runner, connections)
		return true
	})
}

// remove deletes the entry of a runner.
func (table *runnerTable) remove(runner string) { table.entries.Delete(runner) }

// runnerConnections holds the idle connections to one runner and those in use.
type runnerConnections struct {
	mutex sync.Mutex
	idle  []*Connection
	busy  []*Connection
}

// takeIdle returns the most recently used idle connection that can be reused, or nil if there is none. It closes the
// more recent ones that can't be reused.
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
		_ = connection.Conn.Close() // The connection is not in use.
	}
	return nil
}

// addBusy adds a new connection that is in use.
func (connections *runnerConnections) addBusy(connection *Connection) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.busy = append(connections.busy, connection)
}

// putIdle moves a connection in use to the idle ones. It closes the connection instead if it is not reusable, was
// aborted meanwhile or has unread bytes, or if maximumIdle connections are idle already.
func (connections *runnerConnections) putIdle(connection *Connection, reusable bool) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	wasBusy := connections.removeBusy(connection)
	full := len(connections.idle) >= maximumIdle
	if !wasBusy || !reusable || full || connection.Reader.Buffered() > 0 {
		_ = connection.Conn.Close() // The connection is not in use.
		return
	}
	connections.idle = append(connections.idle, connection)
}

// release removes a connection in use. The caller closes it.
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

// abortInactive aborts all connections except those in use that were active within activeWindow.
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

// unresponsive reports whether a response is awaited on a connection that has been inactive for at least the threshold,
// and no response is arriving on another.
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

// suspect notifies the stall handlers of the matching connections in use.
func (connections *runnerConnections) suspect(matches func(connection *Connection) bool) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for _, connection := range connections.busy {
		if matches(connection) {
			connection.suspect()
		}
	}
}

// closeIdle closes the idle connections. If none is in use, it calls a function while it holds the mutex.
func (connections *runnerConnections) closeIdle(unused func()) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for _, connection := range connections.idle {
		_ = connection.Conn.Close() // The connection is not in use.
	}
	connections.idle = nil
	if len(connections.busy) == 0 {
		unused()
	}
}
