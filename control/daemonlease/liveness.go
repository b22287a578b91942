package daemonlease

import "time"

// maximumChallenges bounds the incarnations of one daemon that have a challenge at the same time.
const maximumChallenges = 4

// liveness identifies which of the successive processes at one address is alive. Requests of an ended process may still
// arrive, so each incarnation is sent a challenge. The first incarnation to return its challenge counts as alive. When
// another incarnation returns its challenge, it counts as alive instead, and the challenges of all others are
// discarded: they are issued new ones, which only a live process can return.
type liveness struct {
	// challenges maps incarnations to their challenges.
	challenges map[uint64]uint64
	// incarnation is the incarnation that last returned its challenge, 0 if none has; lastSeen is the time of that.
	incarnation uint64
	lastSeen    time.Time
}

// observe handles a request of an incarnation. challenge is the challenge that the request returns; 0 if it returns
// none.
func (liveness *liveness) observe(now time.Time, incarnation, challenge uint64) {
	if challenge == 0 || liveness.challenges[incarnation] != challenge {
		return
	}
	if incarnation != liveness.incarnation {
		// The challenges of all other incarnations are void from now on.
		liveness.challenges = map[uint64]uint64{incarnation: challenge}
	}
	liveness.incarnation, liveness.lastSeen = incarnation, now
}

// challengeFor returns the challenge of an incarnation, and issues one if it has none.
func (liveness *liveness) challengeFor(incarnation uint64, issue func() uint64) uint64 {
	if challenge, found := liveness.challenges[incarnation]; found {
		return challenge
	}
	if liveness.challenges == nil || len(liveness.challenges) >= maximumChallenges {
		kept := liveness.challenges[liveness.incarnation]
		liveness.challenges = map[uint64]uint64{}
		if kept != 0 {
			liveness.challenges[liveness.incarnation] = kept
		}
	}
	liveness.challenges[incarnation] = issue()
	return liveness.challenges[incarnation]
}

// Challenge returns the challenge that a daemon's incarnation must return with its next request to prove that it is
// alive; 0 for an unknown daemon.
func (leases *Leases) Challenge(address string, incarnation uint64) uint64 {
	known := leases.daemons[address]
	if known == nil {
		return 0
	}
	return known.liveness.challengeFor(incarnation, func() uint64 {
		leases.lastChallenge++
		return leases.lastChallenge
	})
}
