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
	// defaultFinishTime is how long requests in flight may take to finish unless the settings say otherwise.
	defaultFinishTime = 2 * time.Minute
	// minimumShutdownTime is how long the server has to shut down even if the time to finish is over.
	minimumShutdownTime = 200 * time.Millisecond
)

// drain stops the daemon as planned. It fails readiness probes first, accepts requests until the platform has had time
// to notice that, finishes the requests in flight, and only then closes the server. The context must not be done.
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
		// Requests that arrive later might have to be aborted, and another daemon can still serve them.
		if time.Since(started) >= drainTime {
			daemon.closeFront()
		}
	}
	remaining := max(minimumShutdownTime, total-time.Since(started))
	shutdown, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	err := server.ShutdownWithContext(shutdown)
	daemon.log.Info("stopped", slog.Int64("left_unfinished", daemon.Handler.InFlight.Load()))
	// Requests left at the deadline were logged above; they end by the order to stop, which is no failure.
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return apierror.Wrap(err, apierror.Internal, "closing the HTTP side")
}

// closeFront stops accepting requests for good, once the platform has had its time to send clients elsewhere.
//
// Why: if most daemons of a zone stop at once the platform sends clients to all of them again, and requests accepted so
// late could be unfinished at the deadline. New connections are refused, which clients may retry, and requests on open
// ones are rejected as not executed.
func (daemon *Daemon) closeFront() {
	if daemon.Handler.Stopping.Swap(true) {
		return
	}
	if err := daemon.front.Close(); err != nil {
		daemon.log.Error("closing the clients' side", slog.String("cause", err.Error()))
	}
}
