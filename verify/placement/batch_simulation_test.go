package placement

import (
	"testing"
	"time"
)

// runExperiment runs a simulation of a deployment at the usual load; change may modify its settings.
func runExperiment(t *testing.T, deployment, policy string,
	change func(experiment *BatchExperiment)) map[string]*BatchResult {
	t.Helper()
	experiment := BatchExperiment{
		Deployment: Deployments[deployment],
		Load:       1,
		Length:     9 * time.Second,
		Seed:       5,
		Policy:     policy,
		ReportAge:  time.Second,
	}
	if change != nil {
		change(&experiment)
	}
	results, err := experiment.Run()
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// Guards against a policy that places requests no better than by load reports alone: with batching engines at the usual
// load, the value net of costs must be higher and the number of tokens prefilled again at most half of the baseline's.
func TestForecastBeatsReports(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"guild", "ferries", "slow-engines"} {
		results := map[string]*BatchResult{}
		for _, policy := range []string{"wardtray", "least-loaded"} {
			// Three seeds, since engines with few slots receive few requests.
			sums, err := runSeeds(BatchExperiment{
				Deployment: Deployments[deployment],
				Load:       1,
				Length:     9 * time.Second,
				Seed:       5,
				Policy:     policy,
				ReportAge:  time.Second,
			}, 3)
			if err != nil {
				t.Fatal(err)
			}
			results[policy] = sums[""]
		}
		wardtray, baseline := results["wardtray"], results["least-loaded"]
		// With few slots and few requests, the values are almost equal; the tokens prefilled again make the difference.
		if wardtray.ValueShare() < baseline.ValueShare()-0.01 || wardtray.NetShare() < baseline.NetShare()+0.05 {
			t.Errorf("%s: value share %.3f, net of costs %.3f, with least-loaded %.3f and %.3f", deployment,
				wardtray.ValueShare(), wardtray.NetShare(), baseline.ValueShare(), baseline.NetShare())
		}
		if 2*wardtray.RereadTokens > baseline.RereadTokens {
			t.Errorf("%s: %d tokens prefilled again, with least-loaded %d", deployment, wardtray.RereadTokens,
				baseline.RereadTokens)
		}
		if wardtray.Refused > 0 || 50*wardtray.Failed > wardtray.Requests {
			t.Errorf("%s: %d refused and %d failed of %d requests", deployment, wardtray.Refused, wardtray.Failed,
				wardtray.Requests)
		}
	}
}

// Guards against wasted capacity and starvation of large requests under overload: at 1.5 times the usual load, the
// value must exceed that of the baseline, and the share of large requests that are served must be at least half of the
// share of all requests.
func TestOverloadOfBatches(t *testing.T) {
	t.Parallel()
	change := func(experiment *BatchExperiment) { experiment.Load = 1.5 }
	wardtray, baseline := runExperiment(t, "guild", "wardtray", change), runExperiment(t, "guild", "least-loaded", change)
	if wardtray[""].ValueShare() < baseline[""].ValueShare()+0.1 {
		t.Errorf("value share %.3f, with least-loaded %.3f", wardtray[""].ValueShare(), baseline[""].ValueShare())
	}
	for route, result := range wardtray {
		served := result.InTime + result.Late
		if 2*result.LargeServed*result.Requests < served*result.Large {
			t.Errorf("%q: %d of %d large requests served, %d of %d of all", route, result.LargeServed, result.Large, served,
				result.Requests)
		}
	}
}

// Requests with a popular prefix must be spread over several runners, and slow, crashed and draining runners avoided:
// with each fault, the value net of costs must exceed that of the baseline, and no request may be refused.
func TestTroublesOfBatches(t *testing.T) {
	t.Parallel()
	faults := map[string]func(experiment *BatchExperiment){
		"hot":     func(experiment *BatchExperiment) { experiment.Hot, experiment.HotRoute = 0.28, "confirm" },
		"slow":    func(experiment *BatchExperiment) { experiment.Slow = 0.15 },
		"crash":   func(experiment *BatchExperiment) { experiment.Crash = 0.2 },
		"release": func(experiment *BatchExperiment) { experiment.Release = 0.45 },
	}
	for name, change := range faults {
		wardtray, baseline := runExperiment(t, "guild", "wardtray", change)[""],
			runExperiment(t, "guild", "least-loaded", change)[""]
		if wardtray.NetShare() < baseline.NetShare()+0.1 {
			t.Errorf("%s: value share net of costs %.3f, with least-loaded %.3f", name, wardtray.NetShare(), baseline.NetShare())
		}
		if wardtray.Refused > 0 {
			t.Errorf("%s: %d requests refused", name, wardtray.Refused)
		}
	}
}

// With about a hundred daemons and no polls, each daemon observes about a hundredth of the requests and receives few
// load reports. The preferred runners of a prefix, which all daemons derive alike, must then replace this knowledge.
func TestHomesOfAGrownFleet(t *testing.T) {
	t.Parallel()
	change := func(experiment *BatchExperiment) { experiment.ReportAge, experiment.Length = 0, 9*time.Second }
	wardtray, random := runExperiment(t, "ferries-grown", "wardtray", change)[""],
		runExperiment(t, "ferries-grown", "random", change)[""]
	if wardtray.ValueShare() < random.ValueShare() || 2*wardtray.RereadTokens > random.RereadTokens {
		t.Errorf("value share %.3f with %d tokens prefilled again, with random %.3f and %d", wardtray.ValueShare(),
			wardtray.RereadTokens, random.ValueShare(), random.RereadTokens)
	}
}
