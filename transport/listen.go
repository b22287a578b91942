package transport

import (
	"context"
	"net"
	"time"

	"wardtray/apierror"
)

const (
	// listenRetryInterval is the time between two attempts to open a port, listenTimeout the time after which ListenTCP
	// stops retrying.
	listenRetryInterval = 100 * time.Millisecond
	listenTimeout       = 3 * time.Second
)

// ListenTCP opens a TCP port. A previous process with the same address may still hold the port, so a failure is retried
// for up to 3 s; then ListenTCP returns an apierror.InvalidSettings. The context limits only the resolution of a host
// name.
func ListenTCP(ctx context.Context, address string) (net.Listener, error) {
	started := time.Now()
	for {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			return listener, nil
		}
		if time.Since(started) > listenTimeout {
			return nil, apierror.Wrap(err, apierror.InvalidSettings, "listening on %s", address)
		}
		time.Sleep(listenRetryInterval)
	}
}
