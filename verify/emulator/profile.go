package emulator

import "time"

// RunnerProfile is how fast a runner works, and how much of what it has room for.
type RunnerProfile struct {
	// Slots is how many requests run at once.
	Slots int
	// TokenTime is the prefill time of one token that is not cached, AnswerTime the time of one answered.
	TokenTime, AnswerTime time.Duration
	// CacheTokens is the room of the cache.
	CacheTokens int
	// ColdTime is for how long the runner works ColdFactor times slower after its start.
	ColdTime   time.Duration
	ColdFactor int
	// PutBackAbove is the queue length beyond which requests are put back unstarted.
	PutBackAbove int
	// ReportAge is how old pressure reports are.
	ReportAge time.Duration
}

// DefaultProfile is that of the proofs.
var DefaultProfile = RunnerProfile{
	Slots:        4,
	TokenTime:    60 * time.Microsecond,
	AnswerTime:   2 * time.Millisecond,
	CacheTokens:  60_000,
	ColdTime:     2 * time.Second,
	ColdFactor:   4,
	PutBackAbove: 6,
	ReportAge:    700 * time.Millisecond,
}

// isWarmingUp reports whether a runner is still slow at such an age.
func (profile RunnerProfile) isWarmingUp(age time.Duration) bool { return age < profile.ColdTime }

// capacity returns how much a runner can truly do at once at such an age.
func (profile RunnerProfile) capacity(age time.Duration) int {
	if profile.isWarmingUp(age) {
		return max(1, profile.Slots/profile.ColdFactor)
	}
	return profile.Slots
}

// admissible returns how many requests a runner may have, running and waiting, before it rejects more.
func (profile RunnerProfile) admissible() int { return profile.Slots + profile.PutBackAbove }
