package service

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"wardtray/apierror"
	"wardtray/config/process"
)

// plainHost is a Host that is no Reloader.
type plainHost struct{}

func (plainHost) Run(context.Context) error { return nil }

// reloadingHost is a Reloader that keeps the last settings passed to Reload.
type reloadingHost struct {
	plainHost
	settings *process.Settings
}

func (host *reloadingHost) Reload(settings *process.Settings) { host.settings = settings }

func TestReload(t *testing.T) {
	changed := &process.Settings{Zone: "b"}
	read := func() (*process.Settings, error) { return changed, nil }
	fail := func() (*process.Settings, error) { return nil, errors.New("unreadable") }
	var lines strings.Builder
	log := slog.New(slog.NewTextHandler(&lines, nil))
	host := &reloadingHost{}
	if reload(host, log, fail); host.settings != nil || !strings.Contains(lines.String(), "cause=unreadable") {
		t.Errorf("after a failed read: settings %v, want none; log %s", host.settings, lines.String())
	}
	if reload(host, log, read); host.settings != changed {
		t.Errorf("after a successful read: settings %v", host.settings)
	}
	lines.Reset()
	if reload(plainHost{}, log, read); !strings.Contains(lines.String(), "level=INFO") {
		t.Errorf("host without Reload: no line at level INFO in the log: %s", lines.String())
	}
}

func TestExitCode(t *testing.T) {
	for err, want := range map[error]int{
		apierror.New(apierror.InvalidSettings, "zone"): process.ExitBadSettings,
		apierror.New(apierror.DiskFailed, "folder"):    exitFailure,
		errors.New("without a code"):                   exitFailure,
	} {
		if got := exitCode(err); got != want {
			t.Errorf("%v: exit code %d, want %d", err, got, want)
		}
	}
}
