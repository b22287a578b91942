package emulator

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// connectionSet is the open connections of a runner's server. It is safe for concurrent use.
type connectionSet struct {
	mutex sync.Mutex
	open  map[net.Conn]struct{}
}

func newConnectionSet() *connectionSet { return &connectionSet{open: map[net.Conn]struct{}{}} }

// track is the server's hook for changes of a connection's state.
func (connections *connectionSet) track(connection net.Conn, state fasthttp.ConnState) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if state == fasthttp.StateClosed {
		delete(connections.open, connection)
		return
	}
	connections.open[connection] = struct{}{}
}

// close closes every connection, which breaks off the responses on them.
func (connections *connectionSet) close() {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for connection := range connections.open {
		// What can't be closed has been closed.
		_ = connection.Close()
	}
}

// reset closes every connection as the end of a process does: the peer sees a reset.
func (connections *connectionSet) reset() {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for connection := range connections.open {
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			// Without it, the close below is orderly, and the connection ends all the same.
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}
