package daemon

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/dataplane"
)

const (
	// defaultFinishTime is the time that requests in flight have to finish after the drain time, unless the setting Finish
	// holds another time.
	defaultFinishTime = 2 * time.Minute
	// minimumShutdownTime is the timeout of the server's shutdown if less than that remains of the time to finish.
	minimumShutdownTime = 200 * time.Millisecond
)

// drain stops the daemon gracefully. It fails readiness probes but accepts requests for the drain time, so that the
// platform notices and sends clients to other daemons. Then it finishes the requests in flight, and only after that
// closes the server. The context must not be done.
func (daemon *Daemon) drain(ctx context.Context, server *fasthttp.Server) error {
	drainTime := daemon.settings.DrainTime()
	daemon.log.Info("draining", slog.String("for", drainTime.String()))
	started := time.Now()
	total := drainTime + daemon.settings.FinishTime(defaultFinishTime)
	deadline := started.Add(total)
	daemon.Handler.StopBy.Store(&deadline)
	daemon.Drain()
	ticker := time.NewTicker(dataplane.RebalanceInterval)
	defer ticker.Stop()
	for !daemon.Drained(drainTime) && time.Since(started) < total {
		<-ticker.C
		// Requests that arrive later might have to be aborted at the deadline, and another daemon can still serve them.
		if time.Since(started) >= drainTime {
			daemon.closeClientListener()
		}
	}
	remaining := max(minimumShutdownTime, total-time.Since(started))
	shutdown, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	err := server.ShutdownWithContext(shutdown)
	daemon.log.Info("stopped", slog.Int64("left_unfinished", daemon.Handler.InFlight.Load()))
	// The number of requests that are unfinished at the deadline was logged above; aborting them is no failure.
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return apierror.Wrap(err, apierror.Internal, "shutting down the HTTP server")
}

// closeClientListener stops accepting requests for good, after the drain time, in which the platform sends clients to
// other daemons.
//
// If most daemons of a zone stop at once, the platform sends clients to all of them again, and requests accepted so
// late could be unfinished at the deadline. Once the listener is closed, new connections are refused, which clients may
// retry, and requests on open connections are refused as not executed.
func (daemon *Daemon) closeClientListener() {
	if daemon.Handler.Stopping.Swap(true) {
		return
	}
	if err := daemon.clientListener.Close(); err != nil {
		daemon.log.Error("closing the client listener failed; draining continues", slog.String("cause", err.Error()))
	}
}
