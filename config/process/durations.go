package process

import (
	"time"

	"wardtray/apierror"
)

// The defaults of durations.
const (
	defaultDrain         = 3 * time.Second
	defaultHeartbeat     = time.Second
	defaultApply         = 2 * time.Second
	defaultContact       = 3 * time.Second
	defaultAcknowledge   = 4 * time.Second
	defaultCatchUp       = 4 * time.Second
	defaultGrace         = 8 * time.Second
	defaultWithoutCore   = 5 * time.Minute
	defaultRetriesWindow = 10 * time.Second
	defaultQuotasWindow  = 10 * time.Second
)

// The bounds of durations.
const (
	maximumDrain    = 10 * time.Minute
	maximumDuration = time.Hour
)

// parseDrain parses the setting drain.
func parseDrain(text string) (time.Duration, error) {
	if text == "" {
		return defaultDrain, nil
	}
	drain, err := time.ParseDuration(text)
	if err == nil && drain > maximumDrain {
		return 0, apierror.New(apierror.InvalidSettings, "too long")
	}
	return drain, err
}

// DrainTime returns the setting drain.
func (settings *Settings) DrainTime() time.Duration {
	drain, err := parseDrain(settings.Drain)
	if err != nil {
		return defaultDrain
	}
	return drain
}

// durationOr returns a parsed duration, or the fallback if it is not set. Settings.Check rejects invalid durations.
func durationOr(text string, fallback time.Duration) time.Duration {
	if duration, err := time.ParseDuration(text); err == nil {
		return duration
	}
	return fallback
}

// FinishTime returns the setting finish, or the fallback if it is not set.
func (settings *Settings) FinishTime(fallback time.Duration) time.Duration {
	return durationOr(settings.Finish, fallback)
}

// HeartbeatTime returns the setting beat.
func (settings *Settings) HeartbeatTime() time.Duration {
	return durationOr(settings.Heartbeat, defaultHeartbeat)
}

// ApplyTime returns the setting apply.
func (settings *Settings) ApplyTime() time.Duration {
	return durationOr(settings.Apply, defaultApply)
}

// ContactTime returns the setting contact.
func (settings *Settings) ContactTime() time.Duration {
	return durationOr(settings.Contact, defaultContact)
}

// AcknowledgeTime returns the setting acknowledge.
func (settings *Settings) AcknowledgeTime() time.Duration {
	return durationOr(settings.Acknowledge, defaultAcknowledge)
}

// CatchUpTime returns the setting catch_up.
func (settings *Settings) CatchUpTime() time.Duration {
	return durationOr(settings.CatchUp, defaultCatchUp)
}

// GraceTime returns the setting grace.
func (settings *Settings) GraceTime() time.Duration {
	return durationOr(settings.Grace, defaultGrace)
}

// WithoutCoreTime returns the setting without_core.
func (settings *Settings) WithoutCoreTime() time.Duration {
	return durationOr(settings.WithoutCore, defaultWithoutCore)
}

// RetriesWindow returns the setting repeats.window.
func (settings *Settings) RetriesWindow() time.Duration {
	return durationOr(settings.Retries.Window, defaultRetriesWindow)
}

// QuotasWindow returns the setting quotas.window.
func (settings *Settings) QuotasWindow() time.Duration {
	return durationOr(settings.Quotas.Window, defaultQuotasWindow)
}
