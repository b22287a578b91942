package process

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/apierror"
	"wardtray/features"
)

// ExitBadSettings is the exit code for wrong settings or flags.
const ExitBadSettings = 2

const defaultDrain = 3 * time.Second

func parseDrain(text string) (time.Duration, error) {
	if text == "" {
		return defaultDrain, nil
	}
	length, err := time.ParseDuration(text)
	if err == nil && length > 10*time.Minute {
		return 0, apierror.New(apierror.BadSettings, "too long")
	}
	return length, err
}

// DrainTime gives the checked drain setting, or the default.
func (settings *Settings) DrainTime() time.Duration {
	length, err := parseDrain(settings.Drain)
	if err != nil {
		return defaultDrain
	}
	return length
}

// span gives a checked length of time, or what holds by default.
func span(text string, otherwise time.Duration) time.Duration {
	if length, err := time.ParseDuration(text); err == nil {
		return length
	}
	return otherwise
}

// FinishTime gives the checked finish setting, or what holds by default.
func (settings *Settings) FinishTime(otherwise time.Duration) time.Duration {
	return span(settings.Finish, otherwise)
}

// HeartbeatTime gives how often runners call.
func (settings *Settings) HeartbeatTime() time.Duration { return span(settings.Heartbeat, time.Second) }

// ApplyTime gives within what time a change must be in force.
func (settings *Settings) ApplyTime() time.Duration { return span(settings.Apply, 2*time.Second) }

// ContactTime gives how long machines must be cut off to count as out of touch.
func (settings *Settings) ContactTime() time.Duration { return span(settings.Contact, 3*time.Second) }

// AcknowledgeTime gives within what time a valid change must be acknowledged while the core is whole.
func (settings *Settings) AcknowledgeTime() time.Duration {
	return span(settings.Acknowledge, 4*time.Second)
}

// CatchUpTime gives after what time a wtcore that is back, or new, no longer counts as lost.
func (settings *Settings) CatchUpTime() time.Duration { return span(settings.CatchUp, 4*time.Second) }

// GraceTime gives how long a wtcore may take to end after it was told to.
func (settings *Settings) GraceTime() time.Duration { return span(settings.Grace, 8*time.Second) }

// WithoutCoreTime gives how long a wtdata goes on serving while it reaches no wtcore at all.
func (settings *Settings) WithoutCoreTime() time.Duration {
	return span(settings.WithoutCore, 5*time.Minute)
}

// RetriesWindow gives the window of the repeats.
func (settings *Settings) RetriesWindow() time.Duration {
	return span(settings.Retries.Window, 10*time.Second)
}

// QuotasWindow gives the window over which quotas are counted.
func (settings *Settings) QuotasWindow() time.Duration {
	return span(settings.Quotas.Window, 10*time.Second)
}

// WithoutMechanisms gives the mechanisms that are switched off.
func (settings *Settings) WithoutMechanisms() features.Set {
	set, err := features.Parse(settings.Without)
	if err != nil {
		return nil // A checked startup names none that is unknown.
	}
	return set
}

// FromCommandLine reads flags and file of a daemon, checks them, and gives the startup. On a fault
// it prints every flaw and ends the process with ExitBadStartup.
func FromCommandLine(name, help string, needs Needs) *Settings {
	settings, err := Parse(name, help, needs, os.Args[1:], os.Exit)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitBadSettings)
	}
	return settings
}

// Parse is FromCommandLine without the ending.
func Parse(name, help string, needs Needs, arguments []string, terminate func(int)) (*Settings, error) {
	application := kingpin.New(name, help).UsageWriter(os.Stdout).ErrorWriter(io.Discard).Terminate(terminate)
	application.HelpFlag.Short('h')
	file := application.Flag("startup", "Startup file (JSON). Flags go over what it says.").Short('s').String()
	adapter := ""
	if len(needs.Adapters) > 0 {
		application.Flag("adapter", "The platform whose settings file is read in the place of a startup file: "+strings.Join(slices.Sorted(maps.Keys(needs.Adapters)), ", ")+".").
			EnumVar(&adapter, slices.Sorted(maps.Keys(needs.Adapters))...)
	}
	given := &Settings{}
	application.Flag("address", "Where other processes reach this one, ip:port.").StringVar(&given.Address)
	application.Flag("http", "Where callers reach this one, ip:port.").StringVar(&given.HTTP)
	application.Flag("zone", "The zone this machine stands in.").StringVar(&given.Zone)
	application.Flag("seed", "Address of another process; give it three times.").StringsVar(&given.Seeds)
	application.Flag("founder", "Address of a disk machine that must be there for the first view; default: the seeds.").StringsVar(&given.Founders)
	application.Flag("log", "Least level of log lines: debug, info, warn, error.").StringVar(&given.Log)
	if needs.Folder {
		application.Flag("folder", "The data folder.").StringVar(&given.Folder)
	}
	application.Flag("contact", "How long machines must be cut off to count as out of touch.").StringVar(&given.Contact)
	if needs.Folder {
		application.Flag("acknowledge", "Within what time a valid change must be acknowledged while the core is whole.").StringVar(&given.Acknowledge)
		application.Flag("catch-up", "After what time a machine that is back, or new, no longer counts as lost.").StringVar(&given.CatchUp)
		application.Flag("grace", "How long the process may take to end after SIGTERM.").StringVar(&given.Grace)
	}
	if needs.Platform {
		application.Flag("without-core", "How long to go on serving while no wtcore is reached at all; 0s: not beyond the lease.").StringVar(&given.WithoutCore)
		application.Flag("platform", "URL of the platform's list of runners.").StringVar(&given.Platform)
		application.Flag("without", "Mechanisms to switch off for a measurement, separated by commas; see docs/decisions.md.").StringVar(&given.Without)
		application.Flag("drain", "How long requests are still taken after SIGTERM.").StringVar(&given.Drain)
	}
	if _, err := application.Parse(arguments); err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "flags")
	}
	read := func() (*Settings, error) { return Read(*file) }
	if adapter != "" {
		read = needs.Adapters[adapter]
	}
	settings, err := read()
	if err != nil {
		return nil, err
	}
	settings.Adapter = adapter
	for _, pair := range []struct{ to, from *string }{
		{&settings.Address, &given.Address}, {&settings.HTTP, &given.HTTP}, {&settings.Zone, &given.Zone}, {&settings.Log, &given.Log},
		{&settings.Folder, &given.Folder}, {&settings.Platform, &given.Platform}, {&settings.Drain, &given.Drain},
		{&settings.Contact, &given.Contact}, {&settings.Acknowledge, &given.Acknowledge}, {&settings.CatchUp, &given.CatchUp},
		{&settings.Grace, &given.Grace}, {&settings.WithoutCore, &given.WithoutCore},
		{&settings.Without, &given.Without},
	} {
		if *pair.from != "" {
			*pair.to = *pair.from
		}
	}
	if len(given.Seeds) > 0 {
		settings.Seeds = given.Seeds
	}
	if len(given.Founders) > 0 {
		settings.Founders = given.Founders
	}
	if len(settings.Founders) == 0 && !settings.Joins {
		settings.Founders = settings.Seeds
	}
	return settings, settings.Check(needs)
}

// Logger makes the log of a daemon: lines on standard error, for changes of state only.
func (settings *Settings) Logger(name string) *slog.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "warn": slog.LevelWarn, "error": slog.LevelError}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: levels[settings.Log]})
	return slog.New(handler).With("program", name, "address", settings.Address, "zone", settings.Zone)
}
