// Package startup reads and checks what a process is told when it begins. Every fault is named
// before any port or file is touched.
package process

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"wardtray/apierror"
	"wardtray/features"
	"wardtray/strictjson"
)

//go:generate go tool easyjson -disallow_unknown_fields -output_filename settings_easyjson.go settings.go

// Settings is the content of a startup file; flags of the same names go over it.
//
//easyjson:json
type Settings struct {
	// Address is where other processes reach this one, as ip:port.
	Address string `json:"address"`
	// HTTP is where clients or operators reach this one, as ip:port.
	HTTP  string   `json:"http"`
	Zone  string   `json:"zone"`
	Seeds []string `json:"seeds"`
	// Founders are the disk machines that must all be there for the first view; the seeds if empty.
	Founders []string `json:"founders,omitempty"`
	// Folder is the data folder; only wtcore has one.
	Folder string `json:"folder,omitempty"`
	// Platform is the URL of the platform's list of runners; only wtdata has one.
	Platform string `json:"platform,omitempty"`
	// Drain is how long wtdata still takes requests after it was told to stop.
	Drain string `json:"drain,omitempty"`
	// Finish is how long after that what was taken may still take; by default two minutes.
	Finish string `json:"finish,omitempty"`
	// Readiness is where fitness is told, as ip:port, if not at http.
	Readiness string `json:"fitness,omitempty"`
	// MemoryMegabytes is what the process may take; 0: whatever it needs.
	MemoryMegabytes int `json:"memory_megabytes,omitempty"`
	// Faults is how many disk machines may be lost at once; by default one.
	Faults int `json:"faults,omitempty"`
	// Joins says that this machine must not found a fleet, only join one: its disk may have been wiped.
	Joins bool `json:"joins,omitempty"`
	// Heartbeat is how often runners call; by default 1s.
	Heartbeat string `json:"beat,omitempty"`
	// Apply is within what time after its acknowledgement a change must be in force; by default 2s.
	Apply string `json:"apply,omitempty"`
	// Contact is how long machines must be cut off from each other to count as out of touch; by default 3s.
	Contact string `json:"contact,omitempty"`
	// Acknowledge is within what time a valid change must be acknowledged while the core is whole; by default 4s.
	Acknowledge string `json:"acknowledge,omitempty"`
	// CatchUp is after what time a wtcore that is back, or new, no longer counts as lost; by default 4s.
	CatchUp string `json:"catch_up,omitempty"`
	// Grace is how long a wtcore may take to end after it was told to; by default 8s.
	Grace string `json:"grace,omitempty"`
	// WithoutCore is how long a wtdata goes on serving on the configuration that it has while it reaches no wtcore at
	// all; by default 5m. With 0s it stops as soon as its lease is over.
	WithoutCore string `json:"without_core,omitempty"`
	// Retries bound what is sent to a second runner, over all daemons.
	Retries Retries `json:"repeats,omitempty"`
	// Quotas say by how much the daemons together may exceed tenants' quotas.
	Quotas Quotas `json:"quotas,omitempty"`
	// Without names the mechanisms that are switched off for a measurement, separated by commas.
	Without string `json:"without,omitempty"`
	// Registered says that runners register themselves, so that there is no platform's list.
	Registered bool `json:"registered,omitempty"`
	// Idle says that this machine has no disk, so that a wtcore on it stands by and takes no part.
	Idle bool `json:"-"`
	// Adapter is the name of the platform that the settings came from; empty: none.
	Adapter string `json:"-"`
	// Log is debug, info, warn or error.
	Log string `json:"log,omitempty"`
}

// Retries bound the requests sent again in every window: so large a share of a backend's requests, and so many more.
//
//easyjson:json
type Retries struct {
	Window string  `json:"window,omitempty"`
	Share  float64 `json:"share,omitempty"`
	Slack  int     `json:"slack,omitempty"`
}

// Quotas bound what the daemons together let through beyond a tenant's quota: in every window a share of it, and so much
// more, in the unit of the quota.
//
//easyjson:json
type Quotas struct {
	Window string  `json:"window,omitempty"`
	Excess float64 `json:"excess,omitempty"`
	Slack  float64 `json:"slack,omitempty"`
}

// Read reads a file strictly; an empty path gives an empty startup.
func Read(path string) (*Settings, error) {
	settings := &Settings{}
	if path == "" {
		return settings, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "reading %s", path)
	}
	if err := strictjson.Check(content); err != nil {
		return nil, apierror.New(apierror.BadSettings, "%s: %s", path, apierror.Of(err).Detail)
	}
	if err := easyjson.Unmarshal(content, settings); err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "%s", path)
	}
	return settings, nil
}

// Needs says which settings a program needs beside those that all need.
type Needs struct {
	Folder   bool
	Platform bool
	// Adapters read the settings of platforms, by the name that --adapter gives.
	Adapters map[string]func() (*Settings, error)
}

const (
	leastMegabytes = 32
	mostFaults     = 4
)

// checkLengths names every length of time that is none.
func (settings *Settings) checkLengths(flaw flawWriter) {
	if settings.Drain != "" {
		if length, err := parseDrain(settings.Drain); err != nil || length < 0 {
			flaw("drain: %q is no length of time from 0s to 10m", settings.Drain)
		}
	}
	for _, length := range []struct {
		name, text string
		least      time.Duration
	}{
		{"finish", settings.Finish, 1}, {"beat", settings.Heartbeat, 1}, {"apply", settings.Apply, 1}, {"repeats.window", settings.Retries.Window, 1}, {"quotas.window", settings.Quotas.Window, 1},
		{"contact", settings.Contact, 1}, {"acknowledge", settings.Acknowledge, 1}, {"catch_up", settings.CatchUp, 1},
		{"grace", settings.Grace, 1}, {"without_core", settings.WithoutCore, 0},
	} {
		if length.text == "" {
			continue
		}
		if parsed, err := time.ParseDuration(length.text); err != nil || parsed < length.least || parsed > time.Hour {
			flaw("%s: %q is no length of time up to 1h", length.name, length.text)
		}
	}
}

var logLevels = map[string]bool{"": true, "debug": true, "info": true, "warn": true, "error": true}

// flawWriter takes down one flaw.
type flawWriter func(format string, values ...any)

// address names a value that is no address of a process.
func (flaw flawWriter) address(name, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		flaw("%s: %q is no ip:port", name, value)
	}
}

// Check gives one BadStartup fault that names every flaw.
func (settings *Settings) Check(needs Needs) error {
	var flaws []string
	flaw := flawWriter(func(format string, values ...any) { flaws = append(flaws, fmt.Sprintf(format, values...)) })
	settings.checkPlace(flaw)
	settings.checkOthers(flaw)
	settings.checkFolder(needs, flaw)
	settings.checkPlatform(needs, flaw)
	settings.checkLengths(flaw)
	if settings.Readiness != "" {
		flaw.address("fitness", settings.Readiness)
	}
	settings.checkNumbers(flaw)
	if _, err := features.Parse(settings.Without); err != nil {
		flaw("%s", apierror.Of(err).Detail)
	}
	if !logLevels[settings.Log] {
		flaw("log: %q is none of debug, info, warn, error", settings.Log)
	}
	if len(flaws) > 0 {
		return apierror.New(apierror.BadSettings, "%s", strings.Join(flaws, "; "))
	}
	return nil
}

// checkPlace names what is wrong with the process's own addresses and zone.
func (settings *Settings) checkPlace(flaw flawWriter) {
	flaw.address("address", settings.Address)
	flaw.address("http", settings.HTTP)
	if settings.Address != "" && settings.Address == settings.HTTP {
		flaw("http: must differ from address")
	}
	if settings.Zone == "" || len(settings.Zone) > 64 || strings.ContainsAny(settings.Zone, "/ \t\n") {
		flaw("zone: wants 1 to 64 letters without blanks or slashes")
	}
}

// checkOthers names what is wrong with the addresses of seeds and founders.
func (settings *Settings) checkOthers(flaw flawWriter) {
	if len(settings.Seeds) < 1 || len(settings.Seeds) > 16 {
		flaw("seeds: wants 1 to 16 addresses, normally three")
	}
	seen := map[string]bool{}
	for number, seed := range settings.Seeds {
		flaw.address(fmt.Sprintf("seeds[%d]", number), seed)
		if seen[seed] {
			flaw("seeds[%d]: %q is there twice", number, seed)
		}
		seen[seed] = true
	}
	if len(settings.Founders) > 5 {
		flaw("founders: at most 5")
	}
	for number, founder := range settings.Founders {
		flaw.address(fmt.Sprintf("founders[%d]", number), founder)
	}
}

// checkFolder names a folder that is missing, needless, or none.
func (settings *Settings) checkFolder(needs Needs, flaw flawWriter) {
	if needs.Folder == (settings.Folder == "") && !settings.Idle {
		flaw("folder: wtcore needs one, wtdata must have none")
	}
	if needs.Folder && settings.Folder != "" {
		if information, err := os.Stat(settings.Folder); err == nil && !information.IsDir() {
			flaw("folder: %q is no folder", settings.Folder)
		}
	}
}

// checkPlatform names a platform's URL that is missing, needless, or none.
func (settings *Settings) checkPlatform(needs Needs, flaw flawWriter) {
	if !needs.Platform || settings.Registered && settings.Platform == "" {
		if settings.Platform != "" {
			flaw("platform: only wtdata has one")
		}
		return
	}
	if parsed, err := url.Parse(settings.Platform); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		flaw("platform: %q is no http URL", settings.Platform)
	}
}

// checkNumbers names every number that is out of its range.
func (settings *Settings) checkNumbers(flaw flawWriter) {
	if settings.MemoryMegabytes < 0 || settings.MemoryMegabytes > 0 && settings.MemoryMegabytes < leastMegabytes {
		flaw("memory_megabytes: wants at least %d", leastMegabytes)
	}
	if settings.Faults < 0 || settings.Faults > mostFaults {
		flaw("faults: wants 0 to %d", mostFaults)
	}
	if settings.Quotas.Excess < 0 || settings.Quotas.Excess > 1 || settings.Quotas.Slack < 0 {
		flaw("quotas: wants an excess from 0 to 1 and a slack of 0 or more")
	}
	if settings.Retries.Share < 0 || settings.Retries.Share > 1 || settings.Retries.Slack < 0 {
		flaw("repeats: wants a share from 0 to 1 and a slack of 0 or more")
	}
}
