package process

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"wardtray/apierror"
	"wardtray/features"
)

// The bounds of settings.
const (
	minimumMegabytes = 32
	maximumFaults    = 4
	maximumSeeds     = 16
	maximumFounders  = 5
	maximumZone      = 64
)

// Requirements describes the settings that a program requires beside those that every program requires.
type Requirements struct {
	// Folder reports whether the program requires a data folder.
	Folder bool
	// Platform reports whether the program reads the platform's list of runners.
	Platform bool
	// Adapters maps the values of the flag --adapter to the functions that read the settings of these platforms.
	Adapters map[string]func() (*Settings, error)
}

// Check returns one InvalidSettings error that names every problem of the settings, or nil.
func (settings *Settings) Check(needs Requirements) error {
	found := &problems{}
	settings.checkAddresses(found)
	settings.checkPeers(found)
	settings.checkFolder(needs, found)
	settings.checkPlatform(needs, found)
	settings.checkDurations(found)
	if settings.Readiness != "" {
		found.address("fitness", settings.Readiness)
	}
	settings.checkNumbers(found)
	if _, err := features.Parse(settings.Without); err != nil {
		found.add("%s", apierror.Of(err).Detail)
	}
	if _, known := logLevels[settings.Log]; !known {
		found.add("log: %q is none of debug, info, warn, error", settings.Log)
	}
	return found.err()
}

// problems collects the problems of settings.
type problems struct {
	details []string
}

// add adds a problem. Its text begins with the key of the setting.
func (found *problems) add(format string, values ...any) {
	found.details = append(found.details, fmt.Sprintf(format, values...))
}

// address checks the address of a process.
func (found *problems) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		found.add("%s: %q is no ip:port", key, value)
	}
}

// err returns all problems as one error.
func (found *problems) err() error {
	if len(found.details) == 0 {
		return nil
	}
	return apierror.New(apierror.InvalidSettings, "%s", strings.Join(found.details, "; "))
}

// checkAddresses checks the process's own addresses and zone.
func (settings *Settings) checkAddresses(found *problems) {
	found.address("address", settings.Address)
	found.address("http", settings.HTTP)
	if settings.Address != "" && settings.Address == settings.HTTP {
		found.add("http: must differ from address")
	}
	if settings.Zone == "" || len(settings.Zone) > maximumZone || strings.ContainsAny(settings.Zone, "/ \t\n") {
		found.add("zone: wants 1 to %d letters without blanks or slashes", maximumZone)
	}
}

// checkPeers checks the addresses of seeds and founders.
func (settings *Settings) checkPeers(found *problems) {
	if len(settings.Seeds) < 1 || len(settings.Seeds) > maximumSeeds {
		found.add("seeds: wants 1 to %d addresses, normally three", maximumSeeds)
	}
	seen := map[string]bool{}
	for i, seed := range settings.Seeds {
		found.address(fmt.Sprintf("seeds[%d]", i), seed)
		if seen[seed] {
			found.add("seeds[%d]: %q is there twice", i, seed)
		}
		seen[seed] = true
	}
	if len(settings.Founders) > maximumFounders {
		found.add("founders: at most %d", maximumFounders)
	}
	for i, founder := range settings.Founders {
		found.address(fmt.Sprintf("founders[%d]", i), founder)
	}
}

// checkFolder checks that a data folder is set if the program requires one, and only then.
func (settings *Settings) checkFolder(needs Requirements, found *problems) {
	if needs.Folder == (settings.Folder == "") && !settings.Diskless {
		found.add("folder: wtcore needs one, wtdata must have none")
	}
	if needs.Folder && settings.Folder != "" {
		if information, err := os.Stat(settings.Folder); err == nil && !information.IsDir() {
			found.add("folder: %q is no folder", settings.Folder)
		}
	}
}

// checkPlatform checks that the URL of the platform is set if the program requires it, and only then.
func (settings *Settings) checkPlatform(needs Requirements, found *problems) {
	if !needs.Platform || settings.Registered && settings.Platform == "" {
		if settings.Platform != "" {
			found.add("platform: only wtdata has one")
		}
		return
	}
	if parsed, err := url.Parse(settings.Platform); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		found.add("platform: %q is no http URL", settings.Platform)
	}
}

// checkDurations checks every duration that is set.
func (settings *Settings) checkDurations(found *problems) {
	if drain, err := parseDrain(settings.Drain); err != nil || drain < 0 {
		found.add("drain: %q is no length of time from 0s to 10m", settings.Drain)
	}
	for _, setting := range []struct {
		key, text string
		least     time.Duration
	}{
		{"finish", settings.Finish, 1},
		{"beat", settings.Heartbeat, 1},
		{"apply", settings.Apply, 1},
		{"repeats.window", settings.Retries.Window, 1},
		{"quotas.window", settings.Quotas.Window, 1},
		{"contact", settings.Contact, 1},
		{"acknowledge", settings.Acknowledge, 1},
		{"catch_up", settings.CatchUp, 1},
		{"grace", settings.Grace, 1},
		{"without_core", settings.WithoutCore, 0},
	} {
		if setting.text == "" {
			continue
		}
		parsed, err := time.ParseDuration(setting.text)
		if err != nil || parsed < setting.least || parsed > maximumDuration {
			found.add("%s: %q is no length of time up to 1h", setting.key, setting.text)
		}
	}
}

// checkNumbers checks every number.
func (settings *Settings) checkNumbers(found *problems) {
	if settings.MemoryMegabytes < 0 || settings.MemoryMegabytes > 0 && settings.MemoryMegabytes < minimumMegabytes {
		found.add("memory_megabytes: wants at least %d", minimumMegabytes)
	}
	if settings.Faults < 0 || settings.Faults > maximumFaults {
		found.add("faults: wants 0 to %d", maximumFaults)
	}
	if settings.Quotas.Excess < 0 || settings.Quotas.Excess > 1 || settings.Quotas.Slack < 0 {
		found.add("quotas: wants an excess from 0 to 1 and a slack of 0 or more")
	}
	if settings.Retries.Share < 0 || settings.Retries.Share > 1 || settings.Retries.Slack < 0 {
		found.add("repeats: wants a share from 0 to 1 and a slack of 0 or more")
	}
}

// DisabledFeatures returns the features that the setting without disables.
func (settings *Settings) DisabledFeatures() features.Set {
	set, err := features.Parse(settings.Without)
	if err != nil {
		return nil // Check rejects unknown features.
	}
	return set
}
