package placement

import (
	"math"
	"math/rand"
	"reflect"
	"testing"
)

func newTestWorkload(seed int64) *workload {
	return newWorkload(Deployments["guild"], rand.New(rand.NewSource(seed)))
}

func TestWorkloadFollowsTheRates(t *testing.T) {
	workload := newTestWorkload(1)
	const drawn = 4000
	counts := map[string]int{}
	for range drawn {
		counts[workload.draw(noRoute, 0).route.Name]++
	}
	for _, route := range workload.routes {
		want, got := route.Rate/workload.rate, float64(counts[route.Name])/drawn
		if math.Abs(got-want) > 0.03 {
			t.Errorf("%s: a share of %.3f of the requests, want %.3f", route.Name, got, want)
		}
	}
}

func TestASeedFixesTheWorkload(t *testing.T) {
	left, right := newTestWorkload(7), newTestWorkload(7)
	for number := range 100 {
		if first, second := left.draw("survey", 0.5), right.draw("survey", 0.5); !reflect.DeepEqual(first, second) {
			t.Fatalf("request %d: %+v from one workload, %+v from another of the same seed", number, first, second)
		}
	}
}

func TestDrawnRequestsAddUp(t *testing.T) {
	workload := newTestWorkload(3)
	large := 0
	const drawn = 2000
	for range drawn {
		request := workload.draw(noRoute, 0)
		tokens := 0
		for _, part := range request.prompt.tokens {
			tokens += part
		}
		own := request.prompt.tokens[len(request.prompt.tokens)-1]
		if tokens != request.promptTokens || tokens-own != request.sharedTokens {
			t.Fatalf("%d tokens in all parts, %d of them unique; %d prompt tokens, %d shared", tokens, own,
				request.promptTokens, request.sharedTokens)
		}
		if len(request.prompt.parts) != len(request.prompt.tokens) {
			t.Fatalf("%d names for %d parts", len(request.prompt.parts), len(request.prompt.tokens))
		}
		if request.late > request.value || request.answerTokens%workload.stride != 0 {
			t.Fatalf("value %v, late %v, %d answer tokens", request.value, request.late, request.answerTokens)
		}
		if request.large {
			large++
		}
	}
	if share := float64(large) / drawn; share < 0.05 || share > 0.2 {
		t.Errorf("a share of %.3f of the requests is large, want about 0.1", share)
	}
}

// All hot requests of the hot route have the same item; those of other routes have different items.
func TestHotRequestsShareOneItem(t *testing.T) {
	workload := newTestWorkload(5)
	items := map[string]map[string]bool{"survey": {}, "confirm": {}}
	for range 500 {
		request := workload.draw("survey", 1)
		last := request.prompt.parts[len(request.prompt.parts)-2]
		items[request.route.Name][last] = true
	}
	if len(items["survey"]) != 1 || len(items["confirm"]) < 20 {
		t.Errorf("%d items of the hot route, want 1; %d items of the other, want at least 20", len(items["survey"]),
			len(items["confirm"]))
	}
}
