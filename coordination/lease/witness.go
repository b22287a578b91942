package lease

import "time"

// Witness is a keeper's part in the leases of daemons that the head does not reach. A daemon that asks is told
// whether the keeper knows of anything newer than what the daemon has; the word of a majority of the keepers stands
// for the head's own lease. For the head the witness tells how long such words on older sequences may still be
// relied on.
type Witness struct {
	length    time.Duration
	known     uint64
	told      bool
	confirmed map[string]confirmation
	// forgotten is until when words of an earlier life of this process, which are not known any more, may be relied on.
	forgotten time.Time
}

// confirmation is the last word that was given to one daemon.
type confirmation struct {
	sequence uint64
	until    time.Time
}

// maximumConfirmations bounds the daemons that one keeper keeps in mind.
const maximumConfirmations = 4096

// NewWitness makes a witness that knows nothing. It confirms nothing before a head has told it up to where the
// history is committed: a process that has just begun has forgotten what it was told before. A confirmation is
// relied on for a length of time, which holds a margin for clocks that drift.
func NewWitness(length time.Duration) *Witness {
	return &Witness{length: length, confirmed: map[string]confirmation{}}
}

// Restarted takes in that the keeper had an earlier life, which may have given words a moment before it ended. They
// are taken to be relied on for as long as any word is.
func (witness *Witness) Restarted(now time.Time) { witness.forgotten = now.Add(witness.length) }

// Told takes in a head's word that the history is committed up to a sequence.
func (witness *Witness) Told(sequence uint64) {
	witness.told = true
	witness.Knows(sequence)
}

// Knows takes in that a sequence is committed, from wherever that is known.
func (witness *Witness) Knows(sequence uint64) { witness.known = max(witness.known, sequence) }

// Known gives the newest sequence that is known to be committed.
func (witness *Witness) Known() uint64 { return witness.known }

// Confirm tells whether a daemon that has a sequence may be told that nothing newer is known, and keeps in mind
// that it was. Held is what the keeper's disk held when its process began: an earlier life of it may have told the
// head that it knows as much.
func (witness *Witness) Confirm(now time.Time, daemon string, sequence, held uint64) bool {
	witness.Heard(daemon, sequence)
	if !witness.told || sequence < max(witness.known, held) {
		return false
	}
	if _, found := witness.confirmed[daemon]; !found && len(witness.confirmed) >= maximumConfirmations {
		witness.prune(now)
		if len(witness.confirmed) >= maximumConfirmations {
			return false
		}
	}
	witness.confirmed[daemon] = confirmation{sequence: sequence, until: now.Add(witness.length)}
	return true
}

// Heard takes in that a daemon goes by a sequence now, and so by none before it.
func (witness *Witness) Heard(daemon string, sequence uint64) {
	if last, found := witness.confirmed[daemon]; found && sequence > last.sequence {
		delete(witness.confirmed, daemon)
	}
}

// Outstanding gives for how long a daemon may still rely on the confirmation of something older than a sequence.
func (witness *Witness) Outstanding(now time.Time, sequence uint64) time.Duration {
	longest := max(0, witness.forgotten.Sub(now))
	for _, last := range witness.confirmed {
		if last.sequence < sequence {
			longest = max(longest, last.until.Sub(now))
		}
	}
	return longest
}

func (witness *Witness) prune(now time.Time) {
	for daemon, last := range witness.confirmed {
		if !now.Before(last.until) {
			delete(witness.confirmed, daemon)
		}
	}
}

// ProgressTracker is what the head knows of the keepers' words: which sequence each of them knows to be committed, and from
// when on no daemon relies on its word about an older one.
type ProgressTracker struct {
	notices map[string][]notice
}

type notice struct {
	known uint64
	clear time.Time
}

// maximumNotices bounds what is kept of one keeper; the oldest notices go first.
const maximumNotices = 64

// NewProgressTracker makes an empty ledger.
func NewProgressTracker() *ProgressTracker { return &ProgressTracker{notices: map[string][]notice{}} }

// Note takes in that a keeper knows a sequence, and that its words on older ones are over at a moment.
func (ledger *ProgressTracker) Note(keeper string, known uint64, over time.Time) {
	notices := ledger.notices[keeper]
	// A word that is over sooner and reaches as far makes an earlier one needless.
	for len(notices) > 0 && notices[len(notices)-1].known <= known && !over.After(notices[len(notices)-1].clear) {
		notices = notices[:len(notices)-1]
	}
	notices = append(notices, notice{known: known, clear: over})
	if len(notices) > maximumNotices {
		notices = notices[len(notices)-maximumNotices:]
	}
	ledger.notices[keeper] = notices
}

// Knows tells whether a keeper knows a sequence.
func (ledger *ProgressTracker) Knows(keeper string, sequence uint64) bool {
	for _, notice := range ledger.notices[keeper] {
		if notice.known >= sequence {
			return true
		}
	}
	return false
}

// Clear tells whether a keeper knows a sequence and no daemon relies on its word about an older one any more.
func (ledger *ProgressTracker) Clear(now time.Time, keeper string, sequence uint64) bool {
	for _, notice := range ledger.notices[keeper] {
		if notice.known >= sequence && !now.Before(notice.clear) {
			return true
		}
	}
	return false
}
