package lease

import "time"

// maximumConfirmations is the maximum number of daemons whose confirmations one acceptor tracks.
const maximumConfirmations = 4096

// Witness issues an acceptor's confirmations to daemons that can't reach the head. A confirmation states that the
// acceptor knows of no committed sequence newer than that of the daemon's document; confirmations by a majority of the
// acceptors replace a lease from the head. The witness reports to the head the time for which daemons may still rely on
// confirmations of older sequences.
type Witness struct {
	// duration is the time for which a daemon relies on a confirmation.
	duration time.Duration
	// committed is the newest sequence known to be committed; informedByHead reports whether a head has reported a
	// committed sequence to this incarnation of the process.
	committed      uint64
	informedByHead bool
	confirmations  map[string]confirmation
	// unrecordedUntil is the moment until which daemons may rely on confirmations of an earlier incarnation, of which this
	// one has no record.
	unrecordedUntil time.Time
}

// confirmation is the last confirmation issued to a daemon.
type confirmation struct {
	sequence  uint64
	expiresAt time.Time
}

// NewWitness returns a witness without a known committed sequence. It confirms nothing before a head has reported the
// committed sequence, since a restarted process has no record of earlier reports. Daemons rely on a confirmation for
// the given duration, which includes a margin for clock drift.
func NewWitness(duration time.Duration) *Witness {
	return &Witness{duration: duration, confirmations: map[string]confirmation{}}
}

// AssumeUnrecordedConfirmations accounts for an earlier incarnation of the acceptor, which may have issued
// confirmations immediately before it stopped. Daemons are assumed to rely on them for the duration of a confirmation
// from now.
func (witness *Witness) AssumeUnrecordedConfirmations(now time.Time) {
	witness.unrecordedUntil = now.Add(witness.duration)
}

// ObserveHead handles a head's report that the history is committed up to a sequence.
func (witness *Witness) ObserveHead(sequence uint64) {
	witness.informedByHead = true
	witness.ObserveCommit(sequence)
}

// ObserveCommit records that a sequence is committed, as learned from any source.
func (witness *Witness) ObserveCommit(sequence uint64) {
	witness.committed = max(witness.committed, sequence)
}

// Committed returns the newest sequence that is known to be committed.
func (witness *Witness) Committed() uint64 { return witness.committed }

// Confirm reports whether a confirmation may be issued to a daemon whose document has the given sequence, and if so
// records it. stored is the sequence that the acceptor's disk held when its process started: an earlier incarnation may
// have reported to the head that it knows this sequence to be committed.
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

// hasRoom reports whether a confirmation for a daemon can be recorded; it removes expired ones if needed.
func (witness *Witness) hasRoom(now time.Time, daemon string) bool {
	if _, found := witness.confirmations[daemon]; found || len(witness.confirmations) < maximumConfirmations {
		return true
	}
	witness.prune(now)
	return len(witness.confirmations) < maximumConfirmations
}

// ObserveDaemon handles a daemon's report of its document's sequence. A daemon with a newer document no longer relies
// on a confirmation of an older sequence.
func (witness *Witness) ObserveDaemon(daemon string, sequence uint64) {
	if last, found := witness.confirmations[daemon]; found && sequence > last.sequence {
		delete(witness.confirmations, daemon)
	}
}

// Outstanding returns the longest time for which any daemon may still rely on a confirmation of a sequence older than
// the given one; 0 if none does.
func (witness *Witness) Outstanding(now time.Time, sequence uint64) time.Duration {
	longest := max(0, witness.unrecordedUntil.Sub(now))
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
