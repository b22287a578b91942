package transport

import (
	"net"
	"time"

	"wardtray/apierror"
)

const (
	listenAgain = 100 * time.Millisecond
	listenBound = 3 * time.Second
)

// ListenTCP opens a port. One that an earlier life still holds is tried again for a moment.
func ListenTCP(address string) (net.Listener, error) {
	started := time.Now()
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if time.Since(started) > listenBound {
			return nil, apierror.Wrap(err, apierror.BadSettings, "listening on %s", address)
		}
		time.Sleep(listenAgain)
	}
}
