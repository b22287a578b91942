package fleet

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand"
	"os"
	"time"

	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// Options say how a proof runs.
type Options struct {
	Binaries string
	Folder   string
	Seconds  int
	Seed     int64
	Rate     float64
	Hot      float64
	Output   io.Writer
	Keep     bool
	// Timeless judges only by the rules that a slow machine can't break.
	Timeless bool
}

// Stage is what a scenario works with.
type Stage struct {
	*Fleet
	Random  *rand.Rand
	Options Options
	// Factor multiplies the rate of requests.
	Factor  func() float64
	factor  float64
	started time.Time
}

// Scenario is a named course of faults during the load.
type Scenario struct {
	Help string
	// Hot is the part of the requests that carry one and the same opening, Leaves that whose clients leave early.
	Hot, Leaves float64
	Run         func(stage *Stage) error
}

// At waits until so many seconds of the load have passed.
func (stage *Stage) At(seconds float64) {
	waitUntil(stage.started.Add(time.Duration(seconds * float64(time.Second))))
}

// waitUntil waits for a moment, which may have passed.
func waitUntil(moment time.Time) {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	<-timer.C
}

// timeout is how long a fleet may take to come up, and to answer at the end.
const timeout = time.Minute

// Prove runs one scenario on one deployment and reports whether every rule held.
func Prove(shape Shape, scenario Scenario, options Options) (bool, error) {
	folder, remove, err := options.workFolder()
	if err != nil {
		return false, err
	}
	defer remove()
	fleet, err := New(shape, folder, options.Binaries, options.Seed)
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	if err := fleet.bringUp(folder, options.Output); err != nil {
		return false, err
	}
	if err := fleet.runScenario(scenario, options); err != nil {
		return false, err
	}
	if !Await(timeout, fleet.finished) {
		// The report is printed all the same.
		_, _ = fmt.Fprintln(options.Output, "nobody answered for the state at the end")
	}
	violations := histories.Check(fleet.Record)
	if options.Timeless {
		violations = histories.Timeless(violations)
	}
	return fleet.Print(options.Output, violations), nil
}

// workFolder returns the folder for startup files, data and logs, and the function that removes it if it is temporary.
func (options Options) workFolder() (folder string, remove func(), err error) {
	keep := func() {}
	if options.Folder != "" {
		return options.Folder, keep, nil
	}
	folder, err = os.MkdirTemp("", "wtverify-")
	if err != nil || options.Keep {
		return folder, keep, err
	}
	return folder, func() {
		// A temporary folder that stays behind does no harm.
		_ = os.RemoveAll(folder)
	}, nil
}

// bringUp waits for the first view, applies the first spec and lets runners warm up.
func (fleet *Fleet) bringUp(folder string, output io.Writer) error {
	started := time.Now()
	// A slow machine may take its time; the bounds of the rules are measured elsewhere.
	if !Await(timeout, func() bool {
		reply, err := fleet.Get(fleet.Cores()[0])
		return err == nil && reply.Status == 200
	}) {
		return fmt.Errorf("the control plane gave no first view within %v; logs are in %s", timeout, folder)
	}
	var first *histories.Order
	for first == nil || first.Outcome == "unknown" && time.Since(started) < timeout {
		first = fleet.Apply(fleet.Cores()[len(fleet.Cores())-1], "first", 0, "")
	}
	if first.Outcome != "accepted" {
		return fmt.Errorf("the first spec was not accepted: %+v", first)
	}
	// A note on the way; the report follows.
	_, _ = fmt.Fprintf(output, "%s: %d machines, %d disks, %d runners; first spec in effect %v after the start\n",
		fleet.Shape.Name, len(fleet.Machines), len(fleet.Cores()), fleet.Shape.Runners,
		time.Since(started).Round(time.Millisecond))
	// The brief's traffic begins about ten seconds after the machines, when runners are warm and daemons known to be
	// fit.
	waitUntil(started.Add(6 * time.Second))
	return nil
}

// runScenario sends the deployment's mix of requests while the scenario does its harm.
func (fleet *Fleet) runScenario(scenario Scenario, options Options) error {
	rate := options.Rate
	if rate == 0 {
		rate = fleet.Shape.Rate
	}
	stage := &Stage{
		Fleet:   fleet,
		Random:  rand.New(rand.NewSource(options.Seed)),
		Options: options,
		factor:  1,
		started: time.Now(),
	}
	stage.Factor = func() float64 {
		value := 1.0
		fleet.Record.Change(func(*histories.History) { value = stage.factor })
		return value
	}
	sender := loadtest.New(fleet.Shape.Mix, fleet.Shape.Zones, fleet.Platform.Pick, fleet.Record, options.Seed)
	sender.Hot, sender.HangUps = max(options.Hot, scenario.Hot), scenario.Leaves
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go fleet.Sample(running)
	finished := make(chan struct{})
	go func() {
		sender.Run(running, func() float64 { return rate * stage.Factor() })
		close(finished)
	}()
	err := scenario.Run(stage)
	stage.At(float64(options.Seconds))
	stage.At(float64(max(options.Seconds, stage.secondsToReturn())))
	stop()
	<-finished
	return err
}

// secondsToReturn returns how long the load must last to show whether service is back in time after each return, which
// can only be seen while somebody asks for it.
func (stage *Stage) secondsToReturn() (seconds int) {
	stage.Record.Change(func(record *histories.History) {
		for _, back := range record.Returns {
			until := back.At.Add(histories.ReturnBound).Sub(stage.started).Seconds()
			seconds = max(seconds, int(math.Ceil(until)))
		}
	})
	return seconds
}

// finished asks the cores for the state at the end until one has answered.
func (fleet *Fleet) finished() bool {
	for _, core := range fleet.Cores() {
		if fleet.Finish(core) == nil {
			return true
		}
	}
	return false
}

// Scale changes the rate of requests.
func (stage *Stage) Scale(factor float64) {
	stage.Record.Change(func(*histories.History) { stage.factor = factor })
}

func defaultScenario(stage *Stage) error {
	span := float64(stage.Options.Seconds)
	stage.At(span * 0.2)
	stage.Harm("runner 3 killed", stage.Runners[3], time.Second, 0)
	stage.Remove(3, true)
	stage.At(span * 0.35)
	victim := stage.Datas()[5]
	stage.Fault(victim.Name+" killed", victim, true, 2*time.Second)
	victim.Kill()
	stage.At(span * 0.45)
	if err := stage.Start(victim); err != nil {
		return err
	}
	if _, err := stage.AddRunner(3, ""); err != nil {
		return err
	}
	stage.At(span * 0.5)
	head := stage.Cores()[0]
	stage.Fault(head.Name+" killed", head, true, 5*time.Second)
	head.Kill()
	last := stage.Cores()[len(stage.Cores())-1]
	stage.Apply(last, "during", 1, "extra-lane")
	stage.At(span * 0.7)
	if err := stage.Start(head); err != nil {
		return err
	}
	stage.Zone(last, "closing", "close", stage.Shape.Zones[1])
	stage.At(span * 0.95)
	return nil
}
