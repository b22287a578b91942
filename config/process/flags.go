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

// ExitBadStartup is the exit code for wrong settings or flags.
const ExitBadStartup = 2

const defaultDrain = 3 * time.Second

func parseDrain(text string) (time.Duration, error) {
	if text == "" {
		return defaultDrain, nil
	}
	length, err := time.ParseDuration(text)
	if err == nil && length > 10*time.Minute {
		return 0, apierror.New(apierror.BadStartup, "too long")
	}
	return length, err
}

// DrainTime gives the checked drain setting, or the default.
func (startup *Startup) DrainTime() time.Duration {
	length, err := parseDrain(startup.Drain)
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
func (startup *Startup) FinishTime(otherwise time.Duration) time.Duration {
	return span(startup.Finish, otherwise)
}

// BeatTime gives how often runners call.
func (startup *Startup) BeatTime() time.Duration { return span(startup.Beat, time.Second) }

// ApplyTime gives within what time a change must be in force.
func (startup *Startup) ApplyTime() time.Duration { return span(startup.Apply, 2*time.Second) }

// ContactTime gives how long machines must be cut off to count as out of touch.
func (startup *Startup) ContactTime() time.Duration { return span(startup.Contact, 3*time.Second) }

// AcknowledgeTime gives within what time a valid change must be acknowledged while the core is whole.
func (startup *Startup) AcknowledgeTime() time.Duration {
	return span(startup.Acknowledge, 4*time.Second)
}

// CatchUpTime gives after what time a wtcore that is back, or new, no longer counts as lost.
func (startup *Startup) CatchUpTime() time.Duration { return span(startup.CatchUp, 4*time.Second) }

// GraceTime gives how long a wtcore may take to end after it was told to.
func (startup *Startup) GraceTime() time.Duration { return span(startup.Grace, 8*time.Second) }

// WithoutCoreTime gives how long a wtdata goes on serving while it reaches no wtcore at all.
func (startup *Startup) WithoutCoreTime() time.Duration {
	return span(startup.WithoutCore, 5*time.Minute)
}

// RepeatsWindow gives the window of the repeats.
func (startup *Startup) RepeatsWindow() time.Duration {
	return span(startup.Repeats.Window, 10*time.Second)
}

// QuotasWindow gives the window over which quotas are counted.
func (startup *Startup) QuotasWindow() time.Duration {
	return span(startup.Quotas.Window, 10*time.Second)
}

// WithoutMechanisms gives the mechanisms that are switched off.
func (startup *Startup) WithoutMechanisms() features.Set {
	set, err := features.Parse(startup.Without)
	if err != nil {
		return nil // A checked startup names none that is unknown.
	}
	return set
}

// FromCommandLine reads flags and file of a daemon, checks them, and gives the startup. On a fault
// it prints every flaw and ends the process with ExitBadStartup.
func FromCommandLine(name, help string, needs Needs) *Startup {
	startup, err := Parse(name, help, needs, os.Args[1:], os.Exit)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitBadStartup)
	}
	return startup
}

// Parse is FromCommandLine without the ending.
func Parse(name, help string, needs Needs, arguments []string, terminate func(int)) (*Startup, error) {
	application := kingpin.New(name, help).UsageWriter(os.Stdout).ErrorWriter(io.Discard).Terminate(terminate)
	application.HelpFlag.Short('h')
	file := application.Flag("startup", "Startup file (JSON). Flags go over what it says.").Short('s').String()
	adapter := ""
	if len(needs.Adapters) > 0 {
		application.Flag("adapter", "The platform whose settings file is read in the place of a startup file: "+strings.Join(slices.Sorted(maps.Keys(needs.Adapters)), ", ")+".").
			EnumVar(&adapter, slices.Sorted(maps.Keys(needs.Adapters))...)
	}
	given := &Startup{}
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
		return nil, apierror.Wrap(err, apierror.BadStartup, "flags")
	}
	read := func() (*Startup, error) { return Read(*file) }
	if adapter != "" {
		read = needs.Adapters[adapter]
	}
	startup, err := read()
	if err != nil {
		return nil, err
	}
	startup.Adapter = adapter
	for _, pair := range []struct{ to, from *string }{
		{&startup.Address, &given.Address}, {&startup.HTTP, &given.HTTP}, {&startup.Zone, &given.Zone}, {&startup.Log, &given.Log},
		{&startup.Folder, &given.Folder}, {&startup.Platform, &given.Platform}, {&startup.Drain, &given.Drain},
		{&startup.Contact, &given.Contact}, {&startup.Acknowledge, &given.Acknowledge}, {&startup.CatchUp, &given.CatchUp},
		{&startup.Grace, &given.Grace}, {&startup.WithoutCore, &given.WithoutCore},
		{&startup.Without, &given.Without},
	} {
		if *pair.from != "" {
			*pair.to = *pair.from
		}
	}
	if len(given.Seeds) > 0 {
		startup.Seeds = given.Seeds
	}
	if len(given.Founders) > 0 {
		startup.Founders = given.Founders
	}
	if len(startup.Founders) == 0 && !startup.Joins {
		startup.Founders = startup.Seeds
	}
	return startup, startup.Check(needs)
}

// Logger makes the log of a daemon: lines on standard error, for changes of state only.
func (startup *Startup) Logger(name string) *slog.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "warn": slog.LevelWarn, "error": slog.LevelError}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: levels[startup.Log]})
	return slog.New(handler).With("program", name, "address", startup.Address, "zone", startup.Zone)
}
