package emulator

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// connectionSet holds the open connections of a runner's server. It is safe for concurrent use.
type connectionSet struct {
	mutex sync.Mutex
	open  map[net.Conn]struct{}
}

func newConnectionSet() *connectionSet { return &connectionSet{open: map[net.Conn]struct{}{}} }

// track is the server's ConnState callback.
func (connections *connectionSet) track(connection net.Conn, state fasthttp.ConnState) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if state == fasthttp.StateClosed {
		delete(connections.open, connection)
		return
	}
	connections.open[connection] = struct{}{}
}

// close closes every connection, which aborts the responses on them.
func (connections *connectionSet) close() {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for connection := range connections.open {
		// Close fails only if the connection is closed already.
		_ = connection.Close()
	}
}

// reset closes every connection with a TCP reset, as when the process is killed.
func (connections *connectionSet) reset() {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for connection := range connections.open {
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			// If this fails, Close ends the connection without a reset.
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}
