package lease

import "time"

// maximumConfirmations bounds the daemons whose confirmations one acceptor keeps track of.
const maximumConfirmations = 4096

// Witness is an acceptor's part in the leases of daemons that the head does not reach. A daemon
// that asks is told whether the acceptor knows of anything newer than what the daemon has;
// confirmations by a majority of the acceptors stand in for the head's own lease. To the head the
// witness reports for how long confirmations of older sequences may still be relied on.
type Witness struct {
	// duration is for how long a daemon relies on a confirmation.
	duration time.Duration
	// committed is the newest sequence known to be committed; informedByHead is whether a head has
	// said so in this incarnation of the process.
	committed      uint64
	informedByHead bool
	confirmations  map[string]confirmation
	// forgottenUntil is until when confirmations of an earlier incarnation, which are known no
	// more, may be relied on.
	forgottenUntil time.Time
}

// confirmation is the last one that was given to a daemon.
type confirmation struct {
	sequence  uint64
	expiresAt time.Time
}

// NewWitness returns a witness that knows nothing. It confirms nothing before a head has told it up
// to where the history is committed: a process that has just started has forgotten what it was told
// before. Daemons rely on a confirmation for the given duration, which includes a margin for clocks
// that drift.
func NewWitness(duration time.Duration) *Witness {
	return &Witness{duration: duration, confirmations: map[string]confirmation{}}
}

// AssumeForgottenConfirmations handles that the acceptor had an earlier incarnation, which may have given
// confirmations a moment before it ended. They are assumed to be relied on for as long as any
// confirmation is.
func (witness *Witness) AssumeForgottenConfirmations(now time.Time) {
	witness.forgottenUntil = now.Add(witness.duration)
}

// ObserveHead handles a head's statement that the history is committed up to a sequence.
func (witness *Witness) ObserveHead(sequence uint64) {
	witness.informedByHead = true
	witness.ObserveCommit(sequence)
}

// ObserveCommit handles that a sequence is committed, from whichever source that is known.
func (witness *Witness) ObserveCommit(sequence uint64) {
	witness.committed = max(witness.committed, sequence)
}

// Committed returns the newest sequence that is known to be committed.
func (witness *Witness) Committed() uint64 { return witness.committed }

// Confirm reports whether a daemon that has a sequence may be told that nothing newer is known, and
// records that it was. stored is what the acceptor's disk held when its process started: an earlier
// incarnation may have told the head that it knows as much.
func (witness *Witness) Confirm(now time.Time, daemon string, sequence, stored uint64) bool {
	witness.ObserveDaemon(daemon, sequence)
	if !witness.informedByHead || sequence < max(witness.committed, stored) {
		return false
	}
	if !witness.hasRoom(now, daemon) {
		return false
	}
	witness.confirmations[daemon] = confirmation{sequence: sequence, expiresAt: now.Add(witness.duration)}
	return true
}

// hasRoom reports whether a confirmation for a daemon can be recorded; it removes expired ones
// where that is needed.
func (witness *Witness) hasRoom(now time.Time, daemon string) bool {
	if _, found := witness.confirmations[daemon]; found || len(witness.confirmations) < maximumConfirmations {
		return true
	}
	witness.prune(now)
	return len(witness.confirmations) < maximumConfirmations
}

// ObserveDaemon handles that a daemon acts under a sequence by now, and so under none before it.
func (witness *Witness) ObserveDaemon(daemon string, sequence uint64) {
	if last, found := witness.confirmations[daemon]; found && sequence > last.sequence {
		delete(witness.confirmations, daemon)
	}
}

// Outstanding returns for how long a daemon may still rely on the confirmation of something older
// than a sequence; 0 where none does.
func (witness *Witness) Outstanding(now time.Time, sequence uint64) time.Duration {
	longest := max(0, witness.forgottenUntil.Sub(now))
	for _, last := range witness.confirmations {
		if last.sequence < sequence {
			longest = max(longest, last.expiresAt.Sub(now))
		}
	}
	return longest
}

func (witness *Witness) prune(now time.Time) {
	for daemon, last := range witness.confirmations {
		if !now.Before(last.expiresAt) {
			delete(witness.confirmations, daemon)
		}
	}
}
