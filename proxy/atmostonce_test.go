package proxy

import (
	"fmt"
	"testing"
	"time"

	"wardtray/proxy/dedup"
)

// newGuard returns an atMostOnce over a table and the notifications that it sends: for each, whether the request was
// dropped.
func newGuard(table *dedup.Table) (guard *atMostOnce, announced *[]bool) {
	announced = &[]bool{}
	announce := func(_ dedup.Key, dropped bool) { *announced = append(*announced, dropped) }
	return &atMostOnce{table: table, announce: announce}, announced
}

func always() bool { return true }

func TestAtMostOnce(t *testing.T) {
	clock := func() time.Time { return time.Unix(1_700_000_000, 0) }
	key := dedup.KeyOf("route", "id")
	ran := func(guard *atMostOnce) { guard.finish(clock(), dedup.Ran) }
	for name, trial := range map[string]struct {
		end       func(guard *atMostOnce)
		known     dedup.State
		announced []bool
	}{
		"under way":            {func(*atMostOnce) {}, dedup.Running, nil},
		"refused before":       {func(guard *atMostOnce) { guard.forget() }, dedup.NotSeen, nil},
		"ran":                  {sent(ran), dedup.Ran, []bool{false}},
		"rejected by a runner": {sent(func(guard *atMostOnce) { guard.forget() }), dedup.NotSeen, []bool{false, true}},
	} {
		table := dedup.New()
		guard, announced := newGuard(table)
		if known, err := guard.accept(clock, key, always); known != dedup.NotSeen || err != nil {
			t.Fatalf("%s: recorded as %q, %v", name, known, err)
		}
		trial.end(guard)
		again, _ := newGuard(table)
		if known, _ := again.accept(clock, key, always); known != trial.known {
			t.Errorf("%s: recorded as %q, want %q", name, known, trial.known)
		}
		if fmt.Sprint(*announced) != fmt.Sprint(trial.announced) {
			t.Errorf("%s: announced %v", name, *announced)
		}
	}
}

// sent announces a request twice, as two attempts do, before it ends.
func sent(end func(guard *atMostOnce)) func(guard *atMostOnce) {
	return func(guard *atMostOnce) {
		guard.announceSend()
		guard.announceSend()
		end(guard)
	}
}

// A request of a route that may run more than once is not recorded, however it ends.
func TestAtMostOnceDoesNotApply(t *testing.T) {
	table := dedup.New()
	guard, announced := newGuard(table)
	if _, err := guard.accept(time.Now, dedup.KeyOf("route", "id"), func() bool { return false }); err != nil {
		t.Fatal(err)
	}
	guard.announceSend()
	guard.finish(time.Now(), dedup.Unknown)
	guard.forget()
	if table.Len() != 0 || len(*announced) != 0 {
		t.Errorf("%d recorded, announced %v", table.Len(), *announced)
	}
}

// A request that another daemon announced is found, whatever the route in this daemon's configuration allows.
func TestAtMostOnceIsKnownFromElsewhere(t *testing.T) {
	table, key := dedup.New(), dedup.KeyOf("route", "id")
	table.RecordAnnounced(time.Now(), key, false)
	guard, _ := newGuard(table)
	if known, err := guard.accept(time.Now, key, func() bool { return false }); known != dedup.TakenElsewhere {
		t.Errorf("recorded as %q, %v", known, err)
	}
	guard.forget()
	if table.Lookup(key) != dedup.TakenElsewhere {
		t.Error("the record of a request that another daemon announced is gone")
	}
}
