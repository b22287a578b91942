package placement

import (
	"testing"
	"time"

	"wardtray/verify/loadtest"
)

// measure runs a simulation of a deployment with a policy, a rate and a share of hot requests.
func measure(t *testing.T, deployment, policy string, rate, hot float64) map[string]*SlotResult {
	t.Helper()
	experiment := SlotExperiments[deployment]
	experiment.Policy, experiment.Rate, experiment.Hot, experiment.Length, experiment.Seed = policy, rate, hot,
		8*time.Second, 3
	results, err := Measure(experiment)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// Guards against a policy that makes little use of prefix caches: the cache share must be at least 1.5 times that of
// random placement. Simulated time makes the results equal on all machines.
func TestPlacementBeatsChance(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"guild", "ferries"} {
		wardtray, random := measure(t, deployment, "wardtray", 60, 0)[""], measure(t, deployment, "random", 60, 0)[""]
		if wardtray.Done != wardtray.Requests {
			t.Errorf("%s: %d of %d requests done although the fleet has spare capacity", deployment, wardtray.Done,
				wardtray.Requests)
		}
		if wardtray.CacheShare() < 1.5*random.CacheShare() {
			t.Errorf("%s: %.0f%% cached, with random %.0f%%", deployment, 100*wardtray.CacheShare(),
				100*random.CacheShare())
		}
		if wardtray.CrossZone > random.CrossZone {
			t.Errorf("%s: %d answers across zones, with random %d", deployment, wardtray.CrossZone, random.CrossZone)
		}
	}
}

// A request is sent to another zone if its prefix is cached there, since prefilling the prefix again costs fifty times
// as much as the traffic. Requests without a prefix must stay in their zone more often than with random placement.
func TestPromptsWithoutOpeningsStayInTheirZone(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"guild", "ferries"} {
		crossZone := map[string]int{}
		for _, policy := range []string{"wardtray", "random"} {
			experiment := SlotExperiments[deployment]
			experiment.Policy, experiment.Rate, experiment.Length, experiment.Seed = policy, 60, 8*time.Second, 3
			experiment.Mix.Kinds = append([]loadtest.Kind{}, experiment.Mix.Kinds...)
			for index := range experiment.Mix.Kinds {
				experiment.Mix.Kinds[index].PrefixParts, experiment.Mix.Kinds[index].UniqueTokens = 0, 800
			}
			results, err := Measure(experiment)
			if err != nil {
				t.Fatal(err)
			}
			crossZone[policy] = results[""].CrossZone
		}
		if crossZone["wardtray"]*3 > crossZone["random"]*2 {
			t.Errorf("%s: %d answers across zones, with random %d", deployment, crossZone["wardtray"], crossZone["random"])
		}
	}
}

// Nine tenths of the requests have the same prefix, more than its preferred runner can serve. They must spill over to
// other runners, so that all requests are answered.
func TestHotKeySpillsOverTheFleet(t *testing.T) {
	t.Parallel()
	wardtray := measure(t, "guild", "wardtray", 150, 0.9)[""]
	if wardtray.Done != wardtray.Requests || wardtray.CacheShare() < 0.7 {
		t.Errorf("%d of %d requests done, %.0f%% cached", wardtray.Done, wardtray.Requests, 100*wardtray.CacheShare())
	}
}

// Guards against starvation and late refusals under overload. At twice the fleet's capacity, a tenth of each route's
// requests must be answered, the route of the highest value must have the shorter median time to the first event, and
// most refusals must be early.
func TestOverloadIsSharedAndToldEarly(t *testing.T) {
	t.Parallel()
	results := measure(t, "guild", "wardtray", 500, 0)
	share := func(route string) float64 { return float64(results[route].Done) / float64(results[route].Requests) }
	for route, result := range results {
		if share(route) < 0.1 {
			t.Errorf("%s starves: %d of %d requests done", route, result.Done, result.Requests)
		}
	}
	if confirm, survey := results["confirm"].Quantile(0.5), results["survey"].Quantile(0.5); confirm*2 > survey {
		t.Errorf("median time to the first event: confirm %v, survey %v", confirm, survey)
	}
	if all := results[""]; all.RefusedLate > all.RefusedEarly {
		t.Errorf("%d late refusals, %d early", all.RefusedLate, all.RefusedEarly)
	}
}
