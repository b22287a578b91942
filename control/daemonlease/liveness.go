package daemonlease

import "time"

// maximumChallenges bounds the incarnations of one daemon that have a challenge at a time.
const maximumChallenges = 4

// liveness tells which of the processes that had an address after one another is alive. Requests of a process that has
// ended may still arrive, so each incarnation is sent a challenge: only a process that is alive can return one that was
// drawn after all others at its address were forgotten.
type liveness struct {
	// challenges are by incarnation.
	challenges map[uint64]uint64
	// incarnation is the one that has returned its challenge last, and lastSeen when; zero: none has.
	incarnation uint64
	lastSeen    time.Time
}

// observe notes a request of an incarnation that returns a challenge, 0 for none.
func (liveness *liveness) observe(now time.Time, incarnation, challenge uint64) {
	if challenge == 0 || liveness.challenges[incarnation] != challenge {
		return
	}
	if incarnation != liveness.incarnation {
		// What any other one was sent is worth nothing from now on.
		liveness.challenges = map[uint64]uint64{incarnation: challenge}
	}
	liveness.incarnation, liveness.lastSeen = incarnation, now
}

// challengeFor returns the challenge of an incarnation, and draws one where it has none.
func (liveness *liveness) challengeFor(incarnation uint64, draw func() uint64) uint64 {
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
	liveness.challenges[incarnation] = draw()
	return liveness.challenges[incarnation]
}

// Challenge returns what a daemon's incarnation is to return with its next request, so that it is known to be alive.
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
