package daemonlease

import (
	"testing"
	"time"

	"wardtray/wire"
)

// isolationTime is the time for which the daemons of these tests may serve without reaching a control machine.
const isolationTime = 10 * time.Second

// holderRequest is a lease request of a daemon that makes reservations.
func holderRequest(incarnation, challenge uint64) *wire.DaemonLeaseRequest {
	return &wire.DaemonLeaseRequest{Sequence: 5, Zone: "z", Incarnation: incarnation, Challenge: challenge,
		Reservations: &wire.ReservationReport{Epoch: 3, Synced: true,
			IsolationMilliseconds: uint32(isolationTime.Milliseconds())}}
}

// prove has an incarnation of daemon d return its challenge.
func prove(leases *Leases, now time.Time, incarnation uint64) {
	leases.HandleRequest(now, "d", holderRequest(incarnation, 0))
	leases.HandleRequest(now, "d", holderRequest(incarnation, leases.Challenge("d", incarnation)))
}

func holdersAt(leases *Leases, now time.Time) Holders {
	return leases.Holders(DeliveryContext{Now: now, Since: start})
}

func TestHoldersCandidates(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		do   func(leases *Leases)
		want int
	}{
		"alive":             {func(leases *Leases) { prove(leases, start, 7) }, 1},
		"not proven":        {func(leases *Leases) { leases.HandleRequest(start, "d", holderRequest(7, 0)) }, 0},
		"a wrong challenge": {func(leases *Leases) { leases.HandleRequest(start, "d", holderRequest(7, 99)) }, 0},
		"makes none":        {func(leases *Leases) { grant(leases, start, 5) }, 0},
		"silent for long":   {func(leases *Leases) { prove(leases, start.Add(-leaseDuration), 7) }, 0},
		"has ended":         {refused(start.Add(1)), 0},
		"is about to stop":  {func(leases *Leases) { prove(leases, start, 7); drain(leases) }, 0},
	} {
		leases, _ := newLeases("d")
		test.do(leases)
		if got := holdersAt(leases, start.Add(2)).Candidates(); len(got) != test.want {
			t.Errorf("%s: got candidates %v", name, got)
		}
	}
}

// drain has daemon d report that it is draining.
func drain(leases *Leases) {
	request := holderRequest(7, leases.Challenge("d", 7))
	request.Draining = true
	leases.HandleRequest(start, "d", request)
}

// A replica of reservations must not count as ended while its process may still grant reservations; otherwise it would
// be replaced while it is alive, and a request could run twice.
func TestHoldersHasEnded(t *testing.T) {
	t.Parallel()
	longest := leaseDuration + ClockMargin + isolationTime + time.Duration(float64(isolationTime)*clockTolerance)
	for name, test := range map[string]struct {
		do    func(leases *Leases)
		after time.Duration
		want  bool
	}{
		"alive":                               {func(leases *Leases) { prove(leases, start, 7) }, 0, false},
		"silent, and may still serve":         {func(leases *Leases) { prove(leases, start, 7) }, longest, false},
		"silent for longer":                   {func(leases *Leases) { prove(leases, start, 7) }, longest + 1, true},
		"never heard in this term":            {func(*Leases) {}, longest, false},
		"never heard, for longer":             {func(*Leases) {}, longest + 1, true},
		"another process is alive":            {func(leases *Leases) { prove(leases, start, 8) }, 0, true},
		"another process without a challenge": {unprovenSuccessor, 0, false},
		"a late request of the previous one":  {lateRequest, 0, false},
		"connection refused":                  {refused(start.Add(2)), 0, true},
		"refused before it started":           {refusedBefore, 0, false},
		"refused before this leader led":      {func(leases *Leases) { leases.ConnectionRefused("d", start) }, 0, false},
	} {
		leases, _ := newLeases("d")
		test.do(leases)
		replica := &wire.ReservationReplica{Address: "d", Incarnation: 7,
			IsolationMilliseconds: uint32(isolationTime.Milliseconds())}
		if got := holdersAt(leases, start.Add(test.after)).HasEnded(replica); got != test.want {
			t.Errorf("%s: HasEnded returned %v", name, got)
		}
	}
}

func unprovenSuccessor(leases *Leases) {
	prove(leases, start, 7)
	leases.HandleRequest(start, "d", holderRequest(8, 0))
}

// lateRequest has a request of the earlier incarnation 6 arrive, with its challenge, after 7 has proven to be alive.
func lateRequest(leases *Leases) {
	leases.HandleRequest(start, "d", holderRequest(6, 0))
	challenge := leases.Challenge("d", 6)
	prove(leases, start, 7)
	leases.HandleRequest(start, "d", holderRequest(6, challenge))
}

func refused(tried time.Time) func(leases *Leases) {
	return func(leases *Leases) {
		prove(leases, start, 7)
		leases.ConnectionRefused("d", tried)
	}
}

func refusedBefore(leases *Leases) {
	leases.ConnectionRefused("d", start.Add(1))
	prove(leases, start.Add(2), 7)
}

func TestHoldersIsSynced(t *testing.T) {
	t.Parallel()
	leases, _ := newLeases("d")
	prove(leases, start, 7)
	holders := holdersAt(leases, start)
	identity := holders.Candidates()[0].Identity
	if !holders.IsSynced(identity, 3) || holders.IsSynced(identity, 4) || holders.NewestEpoch() != 3 {
		t.Error("IsSynced or NewestEpoch does not match the report of a synced replica in epoch 3")
	}
	identity.Incarnation++
	if holders.IsSynced(identity, 3) {
		t.Error("another incarnation counts as synced")
	}
}

func TestHoldersAllReserve(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		directory                string
		requests                 func(leases *Leases)
		all, noException         bool
		allActUnder, anyReserves bool
	}{
		"all reserve":          {"d", func(leases *Leases) { prove(leases, start, 7) }, true, true, true, true},
		"one daemon not heard": {"de", func(leases *Leases) { prove(leases, start, 7) }, false, true, false, true},
		"one daemon makes none": {"d", func(leases *Leases) {
			prove(leases, start, 7)
			leases.HandleRequest(start, "e", &wire.DaemonLeaseRequest{})
		}, false, false, true, true},
		"no daemon": {"", func(*Leases) {}, true, true, true, false},
	} {
		leases, _ := newLeases(test.directory)
		test.requests(leases)
		holders, directory := holdersAt(leases, start), leases.chain.Committed().Directory
		all, noException := holders.AllReserve(directory)
		if all != test.all || noException != test.noException || leases.AnyReserves() != test.anyReserves ||
			holders.AllActUnder(directory, 3) != test.allActUnder || holders.AllActUnder(directory, 4) && test.directory != "" {
			t.Errorf("%s: all %v, no exception %v, or AnyReserves or AllActUnder is wrong", name, all, noException)
		}
	}
}
