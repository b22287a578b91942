// Package daemon is what the two daemons' programs share: settings, log, wiring by dig, signals and
// exit codes.
package service

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/dig"

	"wardtray/apierror"
	"wardtray/config/process"
)

// Host is a daemon's process.
type Host interface {
	// Run serves until the context ends, then stops cleanly.
	Run(running context.Context) error
}

// Reloader is a host that takes changed settings while it runs.
type Reloader interface {
	Reload(settings *process.Settings)
}

// memoryShare is the part of the memory given that the runtime's own limit leaves to itself; the rest is for
// stacks, sockets and what has arrived but is not read yet.
const memoryShare = 0.7

// Main is the whole of a daemon's program.
func Main[Made Host](name, help string, needs process.Needs, construct func(*process.Settings, *slog.Logger) (Made, error)) {
	settings := process.FromCommandLine(name, help, needs)
	running, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMegabytes<<20)))
	}
	container := dig.New()
	for _, provide := range []any{
		func() *process.Settings { return settings },
		func(settings *process.Settings) *slog.Logger { return settings.Logger(name) },
		construct,
	} {
		if err := container.Provide(provide); err != nil {
			end(name, err)
		}
	}
	if err := container.Invoke(func(host Made, log *slog.Logger) error {
		go reload(running, any(host), log, func() (*process.Settings, error) { return process.Parse(name, help, needs, os.Args[1:], os.Exit) })
		return host.Run(running)
	}); err != nil {
		end(name, dig.RootCause(err))
	}
}

// reload reads the settings again at each SIGHUP. Wrong ones are named and change nothing.
func reload(running context.Context, host any, log *slog.Logger, read func() (*process.Settings, error)) {
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP)
	for {
		select {
		case <-running.Done():
			return
		case <-changes:
		}
		settings, err := read()
		if err != nil {
			log.Error("the changed settings are wrong; the former ones go on", "cause", err.Error())
			continue
		}
		if reloader, able := host.(Reloader); able {
			reloader.Reload(settings)
		}
		log.Info("settings read again")
	}
}

var codes = map[apierror.Code]int{apierror.BadSettings: process.ExitBadSettings}

func end(name string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	code, found := codes[apierror.Of(err).Code]
	if !found {
		code = 1
	}
	os.Exit(code)
}
