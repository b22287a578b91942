package emulator

import "time"

// RunnerProfile configures the speed and the capacity of a runner.
type RunnerProfile struct {
	// Slots is the maximum number of running requests.
	Slots int
	// TokenTime is the prefill time of a prompt token that is not cached, AnswerTime the time per answer token.
	TokenTime, AnswerTime time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// WarmUpTime is the warm-up period after the runner's start, WarmUpSlowdown the factor by which prefills are slower in
	// it.
	WarmUpTime     time.Duration
	WarmUpSlowdown int
	// QueueLimit is the maximum queue length; the runner rejects requests beyond it.
	QueueLimit int
	// ReportAge is the age of the load reports.
	ReportAge time.Duration
}

// DefaultProfile is the profile of the runners in the fleet tests and the simulations.
var DefaultProfile = RunnerProfile{
	Slots:          4,
	TokenTime:      60 * time.Microsecond,
	AnswerTime:     2 * time.Millisecond,
	CacheTokens:    60_000,
	WarmUpTime:     2 * time.Second,
	WarmUpSlowdown: 4,
	QueueLimit:     6,
	ReportAge:      700 * time.Millisecond,
}

// isWarmingUp reports whether a runner is in its warm-up period at a time after its start.
func (profile RunnerProfile) isWarmingUp(age time.Duration) bool { return age < profile.WarmUpTime }

// capacity returns the number of requests that a runner can execute concurrently at a time after its start; it is lower
// during the warm-up period.
func (profile RunnerProfile) capacity(age time.Duration) int {
	if profile.isWarmingUp(age) {
		return max(1, profile.Slots/profile.WarmUpSlowdown)
	}
	return profile.Slots
}

// admissible returns the maximum number of running and waiting requests, beyond which the runner rejects requests.
func (profile RunnerProfile) admissible() int { return profile.Slots + profile.QueueLimit }
