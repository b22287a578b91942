package process

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/apierror"
)

// ExitBadSettings is the exit code of a daemon for invalid settings or flags.
const ExitBadSettings = 2

// FromCommandLine returns the checked settings of a daemon from its flags and file. If they are invalid, it prints
// every problem to standard error and ends the process with ExitBadSettings.
func FromCommandLine(name, help string, needs Requirements) *Settings {
	settings, err := Parse(name, help, needs, os.Args[1:], os.Exit)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitBadSettings)
	}
	return settings
}

// Parse returns the checked settings of a daemon from arguments and the file that they name. Invalid settings are an
// InvalidSettings error. After printing the usage text it calls terminate with an exit code.
func Parse(name, help string, needs Requirements, arguments []string, terminate func(int)) (*Settings, error) {
	application := kingpin.New(name, help).UsageWriter(os.Stdout).ErrorWriter(io.Discard).Terminate(terminate)
	application.HelpFlag.Short('h')
	given := &flags{}
	given.register(application, needs)
	if _, err := application.Parse(arguments); err != nil {
		return nil, apierror.Wrap(err, apierror.InvalidSettings, "flags")
	}
	settings, err := given.readSettings(needs)
	if err != nil {
		return nil, err
	}
	given.override(settings)
	if len(settings.Founders) == 0 && !settings.Joins {
		settings.Founders = settings.Seeds
	}
	return settings, settings.Check(needs)
}

// flags holds the values given on a command line.
type flags struct {
	// file is the path of the settings file, and adapter the platform whose settings file is read instead.
	file, adapter string
	// settings holds the values of the flags that override settings of the file.
	settings Settings
}

// register defines the flags, in the order of the usage text.
func (given *flags) register(application *kingpin.Application, needs Requirements) {
	startup := application.Flag("startup", "Startup file (JSON). Flags override its settings.")
	startup.Short('s').StringVar(&given.file)
	if len(needs.Adapters) > 0 {
		names := slices.Sorted(maps.Keys(needs.Adapters))
		usage := "The platform whose settings file is read in the place of a startup file: " + strings.Join(names, ", ") + "."
		application.Flag("adapter", usage).EnumVar(&given.adapter, names...)
	}
	text := func(name, usage string, value *string) { application.Flag(name, usage).StringVar(value) }
	list := func(name, usage string, value *[]string) { application.Flag(name, usage).StringsVar(value) }
	settings := &given.settings
	text("address", "Where other processes reach this one, ip:port.", &settings.Address)
	text("http", "Where callers reach this one, ip:port.", &settings.HTTP)
	text("zone", "The zone this machine stands in.", &settings.Zone)
	list("seed", "Address of another process; give it three times.", &settings.Seeds)
	list("founder", "Address of a disk machine that must be there for the first view; default: the seeds.",
		&settings.Founders)
	text("log", "Least level of log lines: debug, info, warn, error.", &settings.Log)
	if needs.Folder {
		text("folder", "The data folder.", &settings.Folder)
	}
	text("contact", "After what time machines that can't reach each other count as partitioned.", &settings.Contact)
	if needs.Folder {
		text("acknowledge", "Within what time a valid change must be acknowledged while no wtcore has failed.",
			&settings.Acknowledge)
		text("catch-up", "After what time a wtcore that returned, or is new, no longer counts as failed.", &settings.CatchUp)
		text("grace", "How long the process may take to end after SIGTERM.", &settings.Grace)
	}
	if needs.Platform {
		text("without-core", "How long to go on serving while no wtcore is reached at all; 0s: not beyond the lease.",
			&settings.WithoutCore)
		text("platform", "URL of the platform's list of runners.", &settings.Platform)
		text("without", "Mechanisms to switch off for a measurement, separated by commas; see docs/decisions.md.",
			&settings.Without)
		text("drain", "How long requests are still taken after SIGTERM.", &settings.Drain)
	}
}

// readSettings reads the settings file, or the platform's file if an adapter is given.
func (given *flags) readSettings(needs Requirements) (*Settings, error) {
	if given.adapter == "" {
		return Read(given.file)
	}
	settings, err := needs.Adapters[given.adapter]()
	if err != nil {
		return nil, err
	}
	settings.Adapter = given.adapter
	return settings, nil
}

// override replaces the settings whose flags are given.
func (given *flags) override(settings *Settings) {
	flags := &given.settings
	for _, pair := range []struct{ setting, flag *string }{
		{&settings.Address, &flags.Address},
		{&settings.HTTP, &flags.HTTP},
		{&settings.Zone, &flags.Zone},
		{&settings.Log, &flags.Log},
		{&settings.Folder, &flags.Folder},
		{&settings.Platform, &flags.Platform},
		{&settings.Drain, &flags.Drain},
		{&settings.Contact, &flags.Contact},
		{&settings.Acknowledge, &flags.Acknowledge},
		{&settings.CatchUp, &flags.CatchUp},
		{&settings.Grace, &flags.Grace},
		{&settings.WithoutCore, &flags.WithoutCore},
		{&settings.Without, &flags.Without},
	} {
		if *pair.flag != "" {
			*pair.setting = *pair.flag
		}
	}
	if len(flags.Seeds) > 0 {
		settings.Seeds = flags.Seeds
	}
	if len(flags.Founders) > 0 {
		settings.Founders = flags.Founders
	}
}
