package transport

import (
	"context"
	"net"
	"time"

	"wardtray/apierror"
)

const (
	listenRetryInterval = 100 * time.Millisecond
	listenTimeout       = 3 * time.Second
)

// ListenTCP opens a TCP port. A port that a previous process of the same address still holds is retried for up to 3 s;
// after that it fails with apierror.InvalidSettings. The context concerns the resolution of a host name only.
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
