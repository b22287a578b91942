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
				t.Errorf("%s: %s is a part of %.3f instead of %.3f", name, kind.Route, got, kind.Share)
			}
		}
	}
}

func TestASeedFixesWhatIsDrawn(t *testing.T) {
	mix := Guild.WithDeadlines()
	left, right := rand.New(rand.NewSource(5)), rand.New(rand.NewSource(5))
	for number := range 200 {
		if first, second := mix.Draw(left, 0.3), mix.Draw(right, 0.3); !reflect.DeepEqual(first, second) {
			t.Fatalf("request %d: %+v and %+v", number, first, second)
		}
	}
}

func TestHotRequestsCarryOneOpening(t *testing.T) {
	random, families := rand.New(rand.NewSource(1)), map[int]bool{}
	for range 300 {
		if drawn := Guild.Draw(random, 1); drawn.Family != 0 {
			t.Fatalf("a hot request of family %d", drawn.Family)
		}
		families[Guild.Draw(random, 0).Family] = true
	}
	if len(families) < 10 {
		t.Errorf("%d families without hot requests", len(families))
	}
}

// A variant changes its own kinds and leaves those of the mix alone.
func TestVariantsOfAMix(t *testing.T) {
	for name, mix := range mixes {
		before := append([]Kind{}, mix.Kinds...)
		resumable, deadlines, cancelling := mix.WithResumption(), mix.WithDeadlines(), mix.Cancelling()
		if !reflect.DeepEqual(before, mix.Kinds) {
			t.Errorf("%s: a variant changed the mix", name)
		}
		for index, kind := range mix.Kinds {
			if got := resumable.Kinds[index]; got.Resumable == kind.Once || (got.Pause > 0) == kind.Once {
				t.Errorf("%s: %s may be resumed: %v, after %v", name, kind.Route, got.Resumable, got.Pause)
			}
			if got := deadlines.Kinds[index]; got.Deadline != kind.LatencyTarget || got.Wait != kind.LatencyTarget/2 {
				t.Errorf("%s: %s has a deadline of %v and waits %v", name, kind.Route, got.Deadline, got.Wait)
			}
			if got := cancelling.Kinds[index]; !got.Cancel || got.Answer != longAnswerTokens {
				t.Errorf("%s: %s cancels: %v, answers of %d tokens", name, kind.Route, got.Cancel, got.Answer)
			}
		}
	}
}

// Three in four clients tell how long they wait, from an eighth of the usual time on.
func TestSomeClientsTellHowLongTheyWait(t *testing.T) {
	kind, random := Kind{Wait: 800 * time.Millisecond}, rand.New(rand.NewSource(1))
	told := 0
	const drawn = 2000
	for range drawn {
		wait := kind.drawWait(random)
		if wait == 0 {
			continue
		}
		told++
		if wait < 100*time.Millisecond || wait > 1700*time.Millisecond {
			t.Fatalf("waits %v", wait)
		}
	}
	if part := float64(told) / drawn; math.Abs(part-0.75) > 0.03 {
		t.Errorf("a part of %.3f tells", part)
	}
	if wait := (Kind{}).drawWait(random); wait != 0 {
		t.Errorf("a kind that does not wait waits %v", wait)
	}
}
