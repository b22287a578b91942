// Package service provides the main function that all daemons share: it reads the settings, creates the logger and the
// daemon, runs the daemon until a signal stops it, reloads the settings on SIGHUP, and ends the process with an exit
// code.
package service

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/dig"

	"wardtray/config/process"
)

// Host is the process of a daemon.
type Host interface {
	// Run serves until the context is done, then shuts down gracefully: it finishes the requests that it has accepted
	// before it returns.
	Run(running context.Context) error
}

// Reloader is implemented by a Host that accepts changed settings while it runs.
type Reloader interface {
	// Reload replaces the settings. The new ones have been validated.
	Reload(settings *process.Settings)
}

// memoryLimitShare is the runtime's memory limit as a share of the setting memory_megabytes. The rest is left for
// stacks, sockets and received data that has not been read yet.
const memoryLimitShare = 0.7

// bytesPerMegabyte is the unit of the setting memory_megabytes in bytes.
const bytesPerMegabyte = 1 << 20

// Main is the main function of a daemon. SIGTERM and SIGINT stop the daemon, SIGHUP reloads its settings. Invalid
// settings end the process with the exit code process.ExitBadSettings, any other error with exitFailure.
func Main[Daemon Host](
	name, help string,
	needs process.Requirements,
	construct func(*process.Settings, *slog.Logger) (Daemon, error),
) {
	settings := process.FromCommandLine(name, help, needs)
	running, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	limitMemory(settings)
	container := dig.New()
	for _, provider := range []any{
		func() *process.Settings { return settings },
		func(settings *process.Settings) *slog.Logger { return settings.Logger(name) },
		construct,
	} {
		if err := container.Provide(provider); err != nil {
			exit(name, err)
		}
	}
	read := func() (*process.Settings, error) {
		return process.Parse(name, help, needs, os.Args[1:], os.Exit)
	}
	err := container.Invoke(func(host Daemon, log *slog.Logger) error {
		go reloadOnHangup(running, host, log, read)
		return host.Run(running)
	})
	if err != nil {
		exit(name, dig.RootCause(err))
	}
}

// limitMemory sets the runtime's memory limit, if the settings limit the memory of the process.
func limitMemory(settings *process.Settings) {
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMegabytes*bytesPerMegabyte)))
	}
}
