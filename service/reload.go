package service

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"wardtray/config/process"
)

// settingsReader reads and validates the settings.
type settingsReader func() (*process.Settings, error)

// reloadOnHangup reloads the settings on each SIGHUP, until the context is done.
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

// reload reads the settings and passes them to the host, if it is a Reloader. If they are invalid, the error is logged
// and the host keeps the previous ones.
func reload(host Host, log *slog.Logger, read settingsReader) {
	settings, err := read()
	if err != nil {
		log.Error("reloading settings failed; the previous settings stay in use", "cause", err.Error())
		return
	}
	if reloader, reloads := host.(Reloader); reloads {
		reloader.Reload(settings)
	}
	log.Info("settings reloaded")
}
