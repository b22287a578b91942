package placement

import (
	"testing"
	"time"

	"wardtray/verify/loadtest"
)

func measure(t *testing.T, deployment, way string, rate, hot float64) map[string]*Result {
	t.Helper()
	setting := Settings[deployment]
	setting.Policy, setting.Rate, setting.Hot, setting.Length, setting.Seed = way, rate, hot, 8*time.Second, 3
	results, err := Measure(setting)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// In simulated time and so the same on every machine: the index and the homes find far more in caches than
// chance does.
func TestPlacementBeatsChance(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"guild", "ferries"} {
		ours, chance := measure(t, deployment, "wardtray", 60, 0)[""], measure(t, deployment, "random", 60, 0)[""]
		if ours.Done != ours.Requests {
			t.Errorf("%s: %d of %d done with room to spare", deployment, ours.Done, ours.Requests)
		}
		if ours.CacheShare() < 1.5*chance.CacheShare() {
			t.Errorf("%s: %.0f%% cached, by chance %.0f%%", deployment, 100*ours.CacheShare(), 100*chance.CacheShare())
		}
		if ours.CrossZone > chance.CrossZone {
			t.Errorf("%s: %d awards across zones, by chance %d", deployment, ours.CrossZone, chance.CrossZone)
		}
	}
}

// A prompt crosses zones for its opening, whose second reading costs fifty times what its bytes do. One
// without an opening stays where it came.
func TestPromptsWithoutOpeningsStayInTheirZone(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"guild", "ferries"} {
		crossZone := map[string]int{}
		for _, way := range []string{"wardtray", "random"} {
			setting := Settings[deployment]
			setting.Policy, setting.Rate, setting.Length, setting.Seed = way, 60, 8*time.Second, 3
			setting.Mix.Kinds = append([]loadtest.Kind{}, setting.Mix.Kinds...)
			for place := range setting.Mix.Kinds {
				setting.Mix.Kinds[place].PrefixParts, setting.Mix.Kinds[place].UniqueTokens = 0, 800
			}
			results, err := Measure(setting)
			if err != nil {
				t.Fatal(err)
			}
			crossZone[way] = results[""].CrossZone
		}
		if crossZone["wardtray"]*3 > crossZone["random"]*2 {
			t.Errorf("%s: %d awards across zones, by chance %d", deployment, crossZone["wardtray"], crossZone["random"])
		}
	}
}

// One key with nine tenths of the work spills: nobody is turned away, and no runner is filled to where it puts back.
func TestHotKeySpillsOverTheFleet(t *testing.T) {
	t.Parallel()
	ours := measure(t, "guild", "wardtray", 150, 0.9)[""]
	if ours.Done != ours.Requests || ours.CacheShare() < 0.7 {
		t.Errorf("%d of %d done, %.0f%% cached", ours.Done, ours.Requests, 100*ours.CacheShare())
	}
}

// At twice what the fleet can do: every route still gets some, what is worth more gets more of what it
// asks for, and nearly all refusals come at the door.
func TestOverloadIsSharedAndToldEarly(t *testing.T) {
	t.Parallel()
	results := measure(t, "guild", "wardtray", 500, 0)
	share := func(route string) float64 { return float64(results[route].Done) / float64(results[route].Requests) }
	for route, result := range results {
		if share(route) < 0.1 {
			t.Errorf("%s starves: %d of %d done", route, result.Done, result.Requests)
		}
	}
	if dear, cheap := results["confirm"].Quantile(0.5), results["survey"].Quantile(0.5); dear*2 > cheap {
		t.Errorf("confirm waits %v, survey %v", dear, cheap)
	}
	if all := results[""]; all.Late > all.Early {
		t.Errorf("%d late refusals, %d early", all.Late, all.Early)
	}
}
