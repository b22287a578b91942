package service

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"wardtray/config/process"
)

// settingsReader reads and checks the settings.
type settingsReader func() (*process.Settings, error)

// reloadOnHangup reloads the settings at each SIGHUP, until the context ends.
func reloadOnHangup(running context.Context, host Host, log *slog.Logger, read settingsReader) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-running.Done():
			return
		case <-hangups:
			reload(host, log, read)
		}
	}
}

// reload reads the settings and hands them to the host. Invalid ones are logged, and the host keeps those that it has.
func reload(host Host, log *slog.Logger, read settingsReader) {
	settings, err := read()
	if err != nil {
		log.Error("settings not reloaded, the previous ones stay in force", "cause", err.Error())
		return
	}
	if reloader, reloads := host.(Reloader); reloads {
		reloader.Reload(settings)
	}
	log.Info("settings reloaded")
}
