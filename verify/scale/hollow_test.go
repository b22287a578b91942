package scale

import (
	"math"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A small hollow fleet with real cores. It is judged by what must be there whatever the machine's speed.
func TestSmallHollowFleet(t *testing.T) {
	folder := t.TempDir()
	build := exec.Command("go", "build", "-o", folder, "wardtray/cmd/wtcore")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	told := &strings.Builder{}
	run, err := Measure(Options{Daemons: 9, Runners: 6, Cores: 3, Routes: 4, Backends: 2, Processors: 2, CoreProcessors: 2, Memory: 4 << 30, Seed: 1, Network: 100 + os.Getpid()%100,
		Quiet: time.Second, Founding: 2 * time.Minute, Phases: []string{"change", "runners"}, Bound: 4 * time.Minute, Binaries: folder, Folder: t.TempDir(), Output: told})
	if err != nil {
		t.Fatalf("%v\n%s", err, told)
	}
	figures := map[string]map[string]float64{}
	kinds := map[string]bool{}
	for _, phase := range run.Phases {
		figures[phase.Name] = phase.Figures
		for _, flow := range phase.Flows {
			kinds[flow.Way+" "+flow.Kind] = true
		}
	}
	if figures["founding"]["directory.size"] != 9 {
		t.Errorf("the directory holds %v of 9 daemons", figures["founding"]["directory.size"])
	}
	for _, kind := range []string{"to cores TickAsk", "from cores TickGrant", "to daemons Shuffle", "to daemons Digest", "to daemons Rumor", "from cores RunnerNews"} {
		if !kinds[kind] {
			t.Errorf("no %s was seen", kind)
		}
	}
	for _, phase := range []string{"founding", "quiet", "change", "runners"} {
		if figures[phase]["carrier.dropped"] != 0 {
			t.Errorf("%s: %v frames were dropped", phase, figures[phase]["carrier.dropped"])
		}
	}
	if figures["quiet"]["daemon.heap"] <= 0 || figures["quiet"]["head.resident"] <= 0 || figures["quiet"]["daemon.bytes"] <= 0 {
		t.Errorf("figures are missing: %v", figures)
	}
	results := Results{Runs: []Run{run}}
	if !strings.Contains(results.Table(), "| quiet | daemon.bytes |") {
		t.Error("the table lacks a figure")
	}
	if err := results.Plot(filepath.Join(folder, "plot.svg")); err != nil {
		t.Error(err)
	}
	if t.Failed() {
		t.Log(told)
	}
}

func TestFitFindsSlopeAndPower(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for range 200 {
		base, slope, power := random.Float64()*10, 0.1+random.Float64(), 1+random.Intn(2)
		var points []Point
		for _, size := range []float64{12, 100, 500, 1500} {
			points = append(points, Point{Size: size, Value: base + slope*math.Pow(size, float64(power))})
		}
		fit, fine := FitPoints(points)
		if !fine || fit.Power != power || math.Abs(fit.Slope-slope) > 1e-6*slope || fit.Scatter > 1e-6 || fit.Greatest != 1500 {
			t.Fatalf("%v + %v * size^%d gave %+v", base, slope, power, fit)
		}
	}
}

func TestFitTellsScatterAndWantsThreeSizes(t *testing.T) {
	if _, fine := FitPoints([]Point{{12, 1}, {100, 2}, {100, 3}, {12, 4}}); fine {
		t.Error("two sizes gave a fit")
	}
	random := rand.New(rand.NewSource(2))
	var points []Point
	for _, size := range []float64{12, 50, 100, 250, 500, 1000, 1500} {
		points = append(points, Point{Size: size, Value: (5 + 2*size) * (1 + 0.1*(2*random.Float64()-1))})
	}
	fit, fine := FitPoints(points)
	if !fine || fit.Power != 1 || fit.Scatter < 0.01 || fit.Scatter > 0.15 || math.Abs(fit.Slope-2) > 0.3 {
		t.Errorf("%+v", fit)
	}
}

func TestFitWantsFourSizesForASquare(t *testing.T) {
	if fit, fine := FitPoints([]Point{{10, 100}, {20, 400}, {30, 900}}); !fine || fit.Power != 1 {
		t.Errorf("%+v", fit)
	}
	if fit, fine := FitPoints([]Point{{10, 100}, {20, 400}, {30, 900}, {40, 1600}}); !fine || fit.Power != 2 {
		t.Errorf("%+v", fit)
	}
}

func TestFitTakesWhatFallsAsLevel(t *testing.T) {
	fit, fine := FitPoints([]Point{{12, 1.1}, {60, 1}, {120, 0.9}})
	if !fine || fit.Slope != 0 || math.Abs(fit.At(3500)-1) > 1e-9 || fit.Scatter < 0.05 {
		t.Errorf("%+v", fit)
	}
}

func TestLatenessIsCoarse(t *testing.T) {
	late := lateness{}
	for range 99 {
		late.add(500 * time.Microsecond)
	}
	late.add(time.Second)
	if late.share(0.5) != time.Millisecond || late.share(1) < time.Second {
		t.Errorf("%v %v", late.share(0.5), late.share(1))
	}
}

func TestAddressesAreDistinctAndKnown(t *testing.T) {
	seen := map[string]bool{}
	for number := range aimDaemons + spares {
		place := daemonPlace(60, number, 4)
		if seen[place.Address] {
			t.Fatalf("%s twice", place.Address)
		}
		seen[place.Address] = true
	}
}
