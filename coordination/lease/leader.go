// Package lease is a short exclusive right, the claim, granted by a majority of keepers and bound to a view.
//
// A holder counts its claim from the moment it asked, on its own clock, and a keeper grants only
// after it got the question; so a holder always thinks its claim over before any keeper does, and
// no clocks need agree. A keeper that has voted for the next view grants no more in the old one, and
// grants to the head of a new term only once the claims of the heads before it are over. Between them
// these two rules keep two heads from acting at the same time.
package lease

import (
	"time"

	"wardtray/wire"
)

// Term is for how long a keeper stands by its grant.
const Term = 600 * time.Millisecond

// Held is for how long a holder relies on a grant. The rest of the Term is left for drifting clocks.
const Held = 480 * time.Millisecond

// Lessee is the side that wants the claim.
type Lessee struct {
	view   uint64
	nonce  uint64
	rounds map[uint64]*round
	until  time.Time
}

// round is one question to all keepers.
type round struct {
	asked  time.Time
	grants map[string]bool
}

// NewLessee makes a holder whose rounds are numbered from a random start. Why: an answer to a question
// of an earlier life of the same machine must not be taken for one to a question of this life.
func NewLessee(start uint64) *Lessee { return &Lessee{nonce: start} }

// Ask begins a new round in a view and gives its nonce. An answer counts for its own round, so that answers
// slower than the next question are of use as well.
func (holder *Lessee) Ask(now time.Time, view uint64) uint64 {
	if view != holder.view || holder.rounds == nil {
		holder.until, holder.rounds = time.Time{}, map[uint64]*round{}
	}
	for nonce, earlier := range holder.rounds {
		if now.Sub(earlier.asked) >= Held {
			delete(holder.rounds, nonce)
		}
	}
	holder.view = view
	holder.nonce++
	holder.rounds[holder.nonce] = &round{asked: now, grants: map[string]bool{}}
	return holder.nonce
}

// Grant counts a keeper's answer; majority is how many of the view's keepers are needed.
func (holder *Lessee) Grant(_ time.Time, keeper string, view, nonce uint64, majority int) {
	round := holder.rounds[nonce]
	if view != holder.view || round == nil {
		return
	}
	round.grants[keeper] = true
	if len(round.grants) < majority {
		return
	}
	if until := round.asked.Add(Held); until.After(holder.until) {
		holder.until = until
	}
}

// Valid tells whether the claim may be acted under at this very moment.
func (holder *Lessee) Valid(now time.Time, view uint64) bool {
	return view == holder.view && now.Before(holder.until)
}

// Lessor is the side that grants. A term is a row of views under one head; within it that machine alone
// asks, so that only the heads before the term have to be waited for. Their claims are over a Term after
// the keeper learned of the term, or sooner where each of them is proven to act no more: it told that it has
// taken over the term itself, or nobody listens at its address any longer.
type Lessor struct {
	term    uint64
	learned time.Time
	clear   time.Time
	// rivals are the heads before this term whose claims may still run; unknown tells that there may be others.
	rivals  []*wire.Member
	unknown bool
	head    *wire.Member
	// headActs is the newest view under which that head said that it acts, perhaps one that this keeper is yet to learn of.
	headActs uint64
}

// Restore gives a keeper that begins with a view, which its disk says is cleared or not.
func Restore(now time.Time, view *wire.View, cleared uint64) *Lessor {
	keeper := &Lessor{unknown: true}
	keeper.Learn(now, view)
	if keeper.term > 0 && keeper.term == cleared {
		keeper.clear = now
	}
	return keeper
}

// Learn takes in a newer view.
func (keeper *Lessor) Learn(now time.Time, view *wire.View) {
	if view.GetEpoch() == 0 || view.HeadTerm == keeper.term && keeper.term > 0 {
		return
	}
	previous := keeper.head
	// Heads of terms that this keeper never heard of may hold claims too.
	known := previous != nil && view.PreviousHead != nil && view.PreviousHead.Id == previous.Id && view.PreviousTerm == keeper.term
	if now.Before(keeper.clear) {
		known = known && !keeper.unknown
	} else {
		keeper.rivals = nil
	}
	// A head that leaves in order tells of the new term before this keeper has synced its view.
	if known && keeper.headActs < view.HeadTerm {
		keeper.rivals = append(keeper.rivals, previous)
	}
	keeper.unknown = !known
	keeper.term, keeper.learned, keeper.clear, keeper.head = view.HeadTerm, now, now.Add(Term), view.Chain[0]
	keeper.headActs = 0
	if view.HeadTerm == 1 || known && len(keeper.rivals) == 0 {
		keeper.clear = now
	}
}

// Term gives the view in which the present term began.
func (keeper *Lessor) Term() uint64 { return keeper.term }

// Heard takes in that a machine acts under a view by now.
func (keeper *Lessor) Heard(now time.Time, id string, epoch uint64) {
	if keeper.head != nil && id == keeper.head.Id {
		keeper.headActs = max(keeper.headActs, epoch)
	}
	if len(keeper.rivals) > 0 && epoch >= keeper.term {
		keeper.settle(now, func(rival *wire.Member) bool { return rival.Id == id })
	}
}

// Refused takes in that nobody listened at an address when it was tried at a moment.
func (keeper *Lessor) Refused(now time.Time, address string, tried time.Time) {
	// Before the term was learned a new life of the same machine may still have got a claim.
	if len(keeper.rivals) > 0 && tried.After(keeper.learned) {
		keeper.settle(now, func(rival *wire.Member) bool { return rival.Address == address })
	}
}

func (keeper *Lessor) settle(now time.Time, proven func(rival *wire.Member) bool) {
	var left []*wire.Member
	for _, rival := range keeper.rivals {
		if !proven(rival) {
			left = append(left, rival)
		}
	}
	keeper.rivals = left
	if len(left) == 0 && !keeper.unknown && keeper.clear.After(now) {
		keeper.clear = now
	}
}

// Rivals gives the addresses of the heads whose claims may still run.
func (keeper *Lessor) Rivals(now time.Time) []string {
	var addresses []string
	if now.Before(keeper.clear) {
		for _, rival := range keeper.rivals {
			addresses = append(addresses, rival.Address)
		}
	}
	return addresses
}

// Allows tells whether the head of the present term may be granted a claim, given whether this keeper has
// voted for the next view.
func (keeper *Lessor) Allows(now time.Time, voted bool) bool {
	return !voted && keeper.head != nil && !now.Before(keeper.clear)
}
