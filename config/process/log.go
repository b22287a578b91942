package process

import (
	"log/slog"
	"os"
)

// logLevels maps the values of the setting log to log levels.
var logLevels = map[string]slog.Level{
	"":      slog.LevelInfo,
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// Logger returns the logger of a daemon, which writes lines of text to standard error. Daemons log changes of their
// state, not single requests.
func (settings *Settings) Logger(name string) *slog.Logger {
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevels[settings.Log]})
	return slog.New(handler).With("program", name, "address", settings.Address, "zone", settings.Zone)
}
