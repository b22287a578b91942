package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"os"
	"time"

	"wardtray/proof/history"
	"wardtray/proof/load"
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
	Factor func() float64
	factor float64
	begun  time.Time
}

// Scenario is a named course of faults during the load.
type Scenario struct {
	Help string
	// Hot is the part of the requests that carry one and the same opening.
	Hot float64
	Run func(stage *Stage) error
}

// At waits until so many seconds of the load have passed.
func (stage *Stage) At(seconds float64) {
	timer := time.NewTimer(time.Until(stage.begun.Add(time.Duration(seconds * float64(time.Second)))))
	defer timer.Stop()
	<-timer.C
}

// patience is how long a fleet may take to come up, and to answer at the end.
const patience = time.Minute

// Prove runs one scenario on one deployment and tells whether every rule held.
func Prove(shape Shape, scenario Scenario, options Options) (bool, error) {
	folder := options.Folder
	if folder == "" {
		made, err := os.MkdirTemp("", "wtproof-")
		if err != nil {
			return false, err
		}
		folder = made
		if !options.Keep {
			defer os.RemoveAll(made)
		}
	}
	fleet, err := New(shape, folder, options.Binaries, options.Seed)
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	begun := time.Now()
	var first *history.Order
	// A slow machine may take its time; the bounds of the rules are measured elsewhere.
	if !Await(patience, func() bool {
		reply, err := fleet.Get(fleet.Cores()[0])
		return err == nil && reply.Status == 200
	}) {
		return false, fmt.Errorf("the control plane gave no first view within %v; logs are in %s", patience, folder)
	}
	for first == nil || first.Outcome == "unknown" && time.Since(begun) < patience {
		first = fleet.Apply(fleet.Cores()[len(fleet.Cores())-1], "first", 0, "")
	}
	if first.Outcome != "accepted" {
		return false, fmt.Errorf("the first spec was not accepted: %+v", first)
	}
	fmt.Fprintf(options.Output, "%s: %d machines, %d disks, %d runners; first spec in effect %v after the start\n", shape.Name,
		len(fleet.Machines), len(fleet.Cores()), shape.Runners, time.Since(begun).Round(time.Millisecond))
	// The brief's traffic begins about ten seconds after the machines, when runners are warm and daemons known to be fit.
	if wait := time.Until(begun.Add(6 * time.Second)); wait > 0 {
		timer := time.NewTimer(wait)
		<-timer.C
	}
	rate := options.Rate
	if rate == 0 {
		rate = shape.Rate
	}
	stage := &Stage{Fleet: fleet, Random: rand.New(rand.NewSource(options.Seed)), Options: options, factor: 1, begun: time.Now()}
	stage.Factor = func() float64 {
		value := 1.0
		fleet.Record.Change(func(*history.History) { value = stage.factor })
		return value
	}
	sender := load.New(shape.Mix, shape.Zones, fleet.Platform.Pick, fleet.Record, options.Seed)
	sender.Hot = max(options.Hot, scenario.Hot)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go fleet.Sample(running)
	finished := make(chan struct{})
	go func() {
		sender.Run(running, func() float64 { return rate * stage.Factor() })
		close(finished)
	}()
	err = scenario.Run(stage)
	stage.At(float64(options.Seconds))
	// Whether service is back can only be seen while somebody asks for it.
	fleet.Record.Change(func(record *history.History) {
		for _, back := range record.Returns {
			if until := back.At.Add(history.ReturnBound).Sub(stage.begun).Seconds(); until > float64(options.Seconds) {
				options.Seconds = int(until) + 1
			}
		}
	})
	stage.At(float64(options.Seconds))
	stop()
	<-finished
	if err != nil {
		return false, err
	}
	asked := Await(patience, func() bool {
		for _, core := range fleet.Cores() {
			if fleet.Finish(core) == nil {
				return true
			}
		}
		return false
	})
	if !asked {
		fmt.Fprintln(options.Output, "nobody answered for the state at the end")
	}
	violations := history.Check(fleet.Record)
	if options.Timeless {
		violations = history.Timeless(violations)
	}
	return fleet.Print(options.Output, violations), nil
}

// Scale changes the rate of requests.
func (stage *Stage) Scale(factor float64) {
	stage.Record.Change(func(*history.History) { stage.factor = factor })
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
