package scale

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A small fleet whose head and half of whose daemons fall silent: it serves again, changes are acknowledged
// before and after, and every figure that the page reads is there, also once the results were written and read.
func TestHeadAndHalfOfTheDaemonsLost(t *testing.T) {
	folder := t.TempDir()
	build := exec.Command("go", "build", "-o", folder, "wardtray/cmd/wtcore")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	told := &strings.Builder{}
	plan := FaultPlan{KillHead: true, Power: true, Lose: 0.5, KillAt: 2 * time.Second, LoseAt: 2 * time.Second, HeadBack: 6 * time.Second, LostBack: 6 * time.Second,
		Every: 500 * time.Millisecond, Settled: 2 * time.Second}
	run, err := Measure(Options{Daemons: 12, Cores: 3, Routes: 4, Backends: 2, Processors: 2, CoreProcessors: 2, Memory: 4 << 30, Seed: 1, Network: 200 + os.Getpid()%50,
		Quiet: time.Second, Founding: 2 * time.Minute, Faults: plan, Bound: 4 * time.Minute, Binaries: folder, Folder: t.TempDir(), Output: told})
	if err != nil {
		t.Fatalf("%v\n%s", err, told)
	}
	defer func() {
		if t.Failed() {
			t.Log(told)
		}
	}()
	path := filepath.Join(folder, "results.json")
	if err := (Results{Runs: []Run{run}}).write(path); err != nil {
		t.Fatal(err)
	}
	results, err := ReadResults(path)
	if err != nil {
		t.Fatal(err)
	}
	checkStages(t, results.Runs[0])
	if !strings.Contains(results.Table(), "| faults-silent | head.seconds |") {
		t.Error("the table lacks the silence")
	}
}

// checkStages wants every stage of a run with head and half of the daemons lost, with its figures and without notes.
func checkStages(t *testing.T, run Run) {
	t.Helper()
	for _, stage := range stageNames {
		for _, name := range []string{"daemon.messages", "daemon.bytes", "daemon.processor", "lease.watched"} {
			if value, found := stageFigure(stage, name, 1)(run); !found || value <= 0 {
				t.Errorf("%s: %s is %v", stage, name, value)
			}
		}
	}
	for _, stage := range []string{stageBefore, stageDegraded, stageAfter} {
		if accepted, _ := stageFigure(stage, "changes.accepted", 1)(run); accepted == 0 {
			t.Errorf("%s: no change was acknowledged", stage)
		}
	}
	for _, phase := range run.Phases {
		// A busy machine may let daemons look for another head; what they must do is serve.
		if len(phase.Notes) > 0 && !phase.Upset {
			t.Errorf("%s: %s", phase.Name, strings.Join(phase.Notes, "; "))
		}
		if without := phase.Figures["lease.without_mean"]; phase.Name == stageDegraded && without > phase.Seconds/2 {
			t.Errorf("the daemons that were left had no lease for %.1f of %.1f s", without, phase.Seconds)
		}
	}
}

func TestPlanIsChecked(t *testing.T) {
	for _, plan := range []FaultPlan{{Lose: -0.1}, {Lose: 0.95}, {KillHead: true, KillAt: 2, HeadBack: 2}, {Lose: 0.5, LoseAt: 3, LostBack: 1}} {
		if plan.check() == nil {
			t.Errorf("%+v was taken", plan)
		}
	}
	if err := (FaultPlan{KillHead: true, KillAt: 1, HeadBack: 2, Lose: 0.5, LoseAt: 1, LostBack: 2}).check(); err != nil {
		t.Error(err)
	}
}

func TestLeaseWatchTellsGaps(t *testing.T) {
	watch := newLeaseWatch(10)
	watch.note(0, 15) // It has had none yet, and that is a gap as well.
	watch.note(100, 20)
	watch.note(50, 70)
	watch.note(0, 130)
	watch.note(0, 150)
	watch.note(40, 200)
	history := watch.history(210)
	if history.Open || len(history.Gaps) != 2 || history.Gaps[0] != (Interval{From: 10, To: 20}) || history.Gaps[1] != (Interval{From: 120, To: 200}) {
		t.Errorf("%+v", history)
	}
	watch.note(0, 300)
	history = watch.history(350)
	if !history.Open || len(history.Gaps) != 3 || history.Gaps[2] != (Interval{From: 240, To: 350}) {
		t.Errorf("%+v", history)
	}
	serving := newLeaseWatch(10)
	serving.note(5, 10)
	if history := serving.history(12); history.Open || len(history.Gaps) != 0 {
		t.Errorf("%+v", history)
	}
}

func TestLeaseFiguresAreClippedToTheStage(t *testing.T) {
	second := time.Second
	leases := []LeaseHistory{{Gaps: []Interval{{From: 1 * second, To: 4 * second}}}, {}, {Gaps: []Interval{{From: 9 * second, To: 11 * second}}, Open: true}, {}}
	figures := leaseFigures(leases, Interval{From: 2 * second, To: 10 * second})
	if figures["lease.watched"] != 4 || figures["lease.without_share"] != 0.5 || figures["lease.without_mean"] != 0.75 || figures["lease.without_longest"] != 2 {
		t.Errorf("%v", figures)
	}
}

func TestServingIsWhenAllHoldALeaseAtOnce(t *testing.T) {
	second := time.Second
	leases := []LeaseHistory{{Gaps: []Interval{{From: 1 * second, To: 4 * second}, {From: 20 * second, To: 21 * second}}}, {Gaps: []Interval{{From: 3 * second, To: 6 * second}}}, {}}
	if serving := servingFigures(leases, 1*second, 2*second); serving["serves.seconds"] != 5 || serving["serves.open"] != 0 {
		t.Errorf("%v", serving)
	}
	if serving := servingFigures(leases, 1*second, 8*second); serving["serves.seconds"] != 7 {
		t.Errorf("a head that acts later than all hold confirmations of the keepers: %v", serving)
	}
	leases[2] = LeaseHistory{Gaps: []Interval{{From: 5 * second, To: 30 * second}}, Open: true}
	if serving := servingFigures(leases, 1*second, 2*second); serving["serves.seconds"] != 29 || serving["serves.open"] != 1 {
		t.Errorf("%v", serving)
	}
}

func TestChangesCountAsOfTheirStage(t *testing.T) {
	second := time.Second
	run := &faultRun{firstFault: 10 * second, stages: []stage{{name: stageBefore, bounds: Interval{To: 10 * second}}, {name: stageSilent, bounds: Interval{From: 10 * second, To: 12 * second}},
		{name: stageDegraded, bounds: Interval{From: 12 * second, To: 20 * second}}, {name: stageAfter, bounds: Interval{From: 21 * second, To: 30 * second}}}}
	for _, sample := range []struct {
		sent, answered time.Duration
		stage          string
	}{{1, 2, stageBefore}, {9, 11, stageSilent}, {9, 19, stageSilent}, {11, 25, stageSilent}, {12, 13, stageDegraded}, {20, 22, stageAfter}, {29, 31, stageAfter}} {
		if told := run.stageOf(ChangeRecord{sent: sample.sent * second, answered: sample.answered * second}); told != sample.stage {
			t.Errorf("sent at %d s, answered at %d s: %s", sample.sent, sample.answered, told)
		}
	}
	figures := changeFigures([]ChangeRecord{{Seconds: 3, Outcome: "accepted"}, {Seconds: 1, Outcome: "accepted"}, {Seconds: 2, Outcome: "accepted"}, {Seconds: 5, Outcome: "unknown"}})
	content, _ := json.Marshal(figures)
	if string(content) != `{"changes.accepted":3,"changes.median":2,"changes.most":3,"changes.unsure":1}` {
		t.Errorf("%s", content)
	}
}
