package daemon

import (
	"net"
	"sync"
)

// closedOnce is a listener that may be closed twice: a planned stop closes it before the server's own shutdown does.
type closedOnce struct {
	net.Listener
	once sync.Once
	err  error
}

// Close closes the listener at the first call and returns that call's result from then on.
func (listener *closedOnce) Close() error {
	listener.once.Do(func() { listener.err = listener.Listener.Close() })
	return listener.err
}
