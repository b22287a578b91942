package daemon

import (
	"net"
	"sync"
)

// onceListener is a listener that may be closed twice: draining closes it before the server's shutdown does.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close closes the listener at the first call. Later calls return the first call's result.
func (listener *onceListener) Close() error {
	listener.once.Do(func() { listener.err = listener.Listener.Close() })
	return listener.err
}
