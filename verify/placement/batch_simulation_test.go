package placement

import (
	"testing"
	"time"
)

func played(t *testing.T, deployment, way string, change func(play *Play)) map[string]*Earned {
	t.Helper()
	play := Play{
		Deployment: Deployments[deployment],
		Load:       1,
		Length:     9 * time.Second,
		Seed:       5,
		Policy:     way,
		ReportAge:  time.Second,
	}
	if change != nil {
		change(&play)
	}
	results, err := play.Run()
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// On batching engines, at the usual load: more is earned after prices than by the reports alone, and what all runners
// together read once more is half of it at most.
func TestForecastBeatsReports(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"guild", "ferries", "slow-engines"} {
		results := map[string]*Earned{}
		for _, way := range []string{"wardtray", "least-loaded"} {
			// Three seeds, since engines with few slots get few requests.
			sums, err := total(Play{
				Deployment: Deployments[deployment],
				Load:       1,
				Length:     9 * time.Second,
				Seed:       5,
				Policy:     way,
				ReportAge:  time.Second,
			}, 3)
			if err != nil {
				t.Fatal(err)
			}
			results[way] = sums[""]
		}
		ours, reports := results["wardtray"], results["least-loaded"]
		// Engines with few slots and few requests earn much the same either way; what they read again tells.
		if ours.Share() < reports.Share()-0.01 || ours.Net() < reports.Net()+0.05 {
			t.Errorf("%s: earned %.3f, after prices %.3f, by reports %.3f and %.3f", deployment, ours.Share(),
				ours.Net(), reports.Share(), reports.Net())
		}
		if 2*ours.RereadTokens > reports.RereadTokens {
			t.Errorf("%s: %d tokens read again, by reports %d", deployment, ours.RereadTokens, reports.RereadTokens)
		}
		if ours.Refused > 0 || 50*ours.Failed > ours.Requests {
			t.Errorf("%s: %d refused and %d lost of %d", deployment, ours.Refused, ours.Failed, ours.Requests)
		}
	}
}

// Well above what the fleet can do, those that can be in time are, and of the largest at least half as many
// are served as of the rest.
func TestOverloadOfBatches(t *testing.T) {
	t.Parallel()
	change := func(play *Play) { play.Load = 1.5 }
	ours, reports := played(t, "guild", "wardtray", change), played(t, "guild", "least-loaded", change)
	if ours[""].Share() < reports[""].Share()+0.1 {
		t.Errorf("earned %.3f, by reports %.3f", ours[""].Share(), reports[""].Share())
	}
	for route, earned := range ours {
		served := earned.InTime + earned.Late
		if 2*earned.LargeServed*earned.Requests < served*earned.Large {
			t.Errorf("%q: %d of %d large ones served, %d of %d in all", route, earned.LargeServed, earned.Large, served,
				earned.Requests)
		}
	}
}

// A crowd's opening spreads over several runners, and slow and crashed runners are gone around.
func TestTroublesOfBatches(t *testing.T) {
	t.Parallel()
	troubles := map[string]func(play *Play){
		"hot":     func(play *Play) { play.Hot, play.HotRoute = 0.28, "confirm" },
		"slow":    func(play *Play) { play.Slow = 0.15 },
		"crash":   func(play *Play) { play.Crash = 0.2 },
		"release": func(play *Play) { play.Release = 0.45 },
	}
	for name, change := range troubles {
		ours, reports := played(t, "guild", "wardtray", change)[""], played(t, "guild", "least-loaded", change)[""]
		if ours.Net() < reports.Net()+0.1 {
			t.Errorf("%s: %.3f left after prices, by reports %.3f", name, ours.Net(), reports.Net())
		}
		if ours.Refused > 0 {
			t.Errorf("%s: %d refused", name, ours.Refused)
		}
	}
}

// Where each of many daemons sees a hundredth of the work, homes that all agree on stand for what nobody tells.
func TestHomesOfAGrownFleet(t *testing.T) {
	t.Parallel()
	change := func(play *Play) { play.ReportAge, play.Length = 0, 9*time.Second }
	ours, index := played(t, "ferries-grown", "wardtray", change)[""], played(t, "ferries-grown", "random", change)[""]
	if ours.Share() < index.Share() || 2*ours.RereadTokens > index.RereadTokens {
		t.Errorf("earned %.3f with %d read again, by lot %.3f with %d", ours.Share(), ours.RereadTokens, index.Share(),
			index.RereadTokens)
	}
}
