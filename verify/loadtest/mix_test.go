package loadtest

import (
	"math"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

var mixes = map[string]Mix{"guild": Guild, "ferries": Ferries}

func TestSharesAddUpToOne(t *testing.T) {
	for name, mix := range mixes {
		sum := 0.0
		for _, kind := range mix.Kinds {
			sum += kind.Share
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%s: the shares add up to %v", name, sum)
		}
	}
}

func TestDrawFollowsTheShares(t *testing.T) {
	for name, mix := range mixes {
		random, counts := rand.New(rand.NewSource(1)), map[string]int{}
		const drawn = 5000
		for range drawn {
			counts[mix.Draw(random, 0).Kind.Route]++
		}
		for _, kind := range mix.Kinds {
			if got := float64(counts[kind.Route]) / drawn; math.Abs(got-kind.Share) > 0.03 {
				t.Errorf("%s: %s has a share of %.3f, want %.3f", name, kind.Route, got, kind.Share)
			}
		}
	}
}

func TestASeedFixesWhatIsDrawn(t *testing.T) {
	mix := Guild.WithDeadlines()
	left, right := rand.New(rand.NewSource(5)), rand.New(rand.NewSource(5))
	for number := range 200 {
		if first, second := mix.Draw(left, 0.3), mix.Draw(right, 0.3); !reflect.DeepEqual(first, second) {
			t.Fatalf("request %d: %+v from one source, %+v from another of the same seed", number, first, second)
		}
	}
}

func TestHotRequestsCarryOneOpening(t *testing.T) {
	random, prefixes := rand.New(rand.NewSource(1)), map[int]bool{}
	for range 300 {
		if drawn := Guild.Draw(random, 1); drawn.Prefix != 0 {
			t.Fatalf("a hot request with prefix %d, want 0", drawn.Prefix)
		}
		prefixes[Guild.Draw(random, 0).Prefix] = true
	}
	if len(prefixes) < 10 {
		t.Errorf("%d different prefixes without hot requests, want at least 10", len(prefixes))
	}
}

// Each variant has the settings that its name states, and doesn't modify the kinds of the original mix, which share a
// backing array until withKinds copies them.
func TestVariantsOfAMix(t *testing.T) {
	for name, mix := range mixes {
		before := append([]Kind{}, mix.Kinds...)
		resumable, deadlines, cancelling := mix.WithResumption(), mix.WithDeadlines(), mix.Cancelling()
		if !reflect.DeepEqual(before, mix.Kinds) {
			t.Errorf("%s: a variant modified the original mix", name)
		}
		for index, kind := range mix.Kinds {
			if got := resumable.Kinds[index]; got.Resumable == kind.AtMostOnce || (got.Pause > 0) == kind.AtMostOnce {
				t.Errorf("%s: %s: resumable %v, pause %v", name, kind.Route, got.Resumable, got.Pause)
			}
			if got := deadlines.Kinds[index]; got.Deadline != kind.LatencyTarget || got.Wait != kind.LatencyTarget/2 {
				t.Errorf("%s: %s: deadline %v, client time limit %v", name, kind.Route, got.Deadline, got.Wait)
			}
			if got := cancelling.Kinds[index]; !got.Cancel || got.Answer != longAnswerTokens {
				t.Errorf("%s: %s: cancelled on disconnection %v, %d answer tokens", name, kind.Route, got.Cancel, got.Answer)
			}
		}
	}
}

// Three quarters of the clients declare a time limit, of at least an eighth of the kind's Wait.
func TestSomeClientsTellHowLongTheyWait(t *testing.T) {
	kind, random := Kind{Wait: 800 * time.Millisecond}, rand.New(rand.NewSource(1))
	declared := 0
	const drawn = 2000
	for range drawn {
		wait := kind.drawWait(random)
		if wait == 0 {
			continue
		}
		declared++
		if wait < 100*time.Millisecond || wait > 1700*time.Millisecond {
			t.Fatalf("time limit %v", wait)
		}
	}
	if share := float64(declared) / drawn; math.Abs(share-0.75) > 0.03 {
		t.Errorf("a share of %.3f declares a time limit, want 0.75", share)
	}
	if wait := (Kind{}).drawWait(random); wait != 0 {
		t.Errorf("time limit %v of a kind without one", wait)
	}
}
