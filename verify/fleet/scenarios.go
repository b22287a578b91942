package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wardtray/verify/emulator"
	"wardtray/verify/histories"
)

// Scenarios are all that a real fleet is put through, each while the load goes on.
var Scenarios = map[string]Scenario{
	"calm": {
		Help: "no fault at all; a fleet to look at with wtctl",
		Run:  func(*Stage) error { return nil },
	},
	"default": {
		Help: "kill a runner, a data daemon and a disk machine's core, and change the spec meanwhile",
		Run:  defaultScenario,
	},
	"crowd": {Help: "five times the requests for a quarter of the time", Run: overload},
	"hot-key": {
		Help: "nine requests of ten carry one opening",
		Hot:  0.9,
		Run:  func(*Stage) error { return nil },
	},
	"runner-dark":    {Help: "two runners read requests and never answer", Run: runnerDark},
	"runner-partial": {Help: "a runner breaks its streams in the middle, another becomes slow", Run: runnerPartial},
	"address-reused": {
		Help: "a runner crashes and a stranger of another service answers at its address",
		Run:  addressReused,
	},
	"rolling-release": {
		Help: "every runner is drained and comes back under a new identity, one after the other",
		Run:  rollingRelease,
	},
	"daemon-frozen": {
		Help: "data daemons are frozen for seconds and woken, while the spec changes",
		Run:  daemonFrozen,
	},
	"daemon-killed": {Help: "data daemons are killed and come back", Run: daemonKilled},
	"core-frozen":   {Help: "the head is frozen in the middle of changes and woken", Run: coreFrozen},
	"core-wiped":    {Help: "a disk machine loses its disk and comes back blank", Run: coreWiped},
	"core-swapped": {
		Help: "every control machine in turn is swapped for a blank one at a new address",
		Run:  coreSwapped,
	},
	"control-off":  {Help: "the whole control plane is down for ten seconds; traffic goes on", Run: controlOff},
	"zone-lost":    {Help: "all machines of a zone are killed and come back", Run: zoneLost},
	"all-down":     {Help: "every process is killed at once and started again", Run: allDown},
	"storm":        {Help: "two operators race each other as fast as they can", Run: storm},
	"many-routes":  {Help: "thousands of lanes are added at once", Run: manyRoutes},
	"zones-closed": {Help: "zones are closed and opened again", Run: zonesClosed},
	"rolling-restart": {
		Help: "every wtdata and wtcore is restarted by SIGTERM, one after the other",
		Run:  rollingRestart,
	},
	"requesters-leave": {
		Help:   "half of the requesters leave early, while a crowd comes, a runner is dark and daemons are frozen",
		Leaves: 0.5,
		Run:    clientsLeave,
	},
	"fault-at-the-end": {
		Help: "power is lost everywhere directly after an acknowledgement, at the very end",
		Run:  faultAtTheEnd,
	},
}

// unresponsiveBound is how long a loss of which nobody says anything may take to be known.
const unresponsiveBound = 4 * time.Second

func (stage *Stage) span(part float64) { stage.At(float64(stage.Options.Seconds) * part) }

// present returns the spec's epoch, read through any core.
func (stage *Stage) present() uint64 {
	for _, core := range stage.Cores() {
		if reply, err := stage.Get(core); err == nil && reply.Status == 200 {
			return reply.Epoch
		}
	}
	return 0
}

// change applies a spec with a marker route through a core, on the present epoch.
func (stage *Stage) change(core *Program, operation string) *histories.Order {
	return stage.Apply(core, operation, stage.present(), "lane-"+operation)
}

func overload(stage *Stage) error {
	stage.span(0.3)
	stage.Scale(5)
	stage.span(0.55)
	stage.Scale(1)
	return nil
}

func runnerDark(stage *Stage) error {
	stage.span(0.2)
	for _, number := range []int{2, 9} {
		stage.Harm(fmt.Sprintf("runner %d goes dark", number), stage.Runners[number],
			time.Duration(stage.Options.Seconds)*time.Second, unresponsiveBound)
	}
	stage.Runners[2].Faults.Unresponsive.Store(true)
	stage.Runners[9].Faults.Unresponsive.Store(true)
	stage.span(0.5)
	stage.Remove(2, true)
	stage.Remove(9, true)
	stage.span(0.6)
	for _, number := range []int{2, 9} {
		if _, err := stage.AddRunner(number, ""); err != nil {
			return err
		}
	}
	return nil
}

func runnerPartial(stage *Stage) error {
	stage.span(0.2)
	stage.Harm("runner 4 breaks streams", stage.Runners[4], time.Duration(stage.Options.Seconds)*time.Second/2, 0)
	stage.Harm("runner 5 is ten times slower", stage.Runners[5], time.Duration(stage.Options.Seconds)*time.Second/2,
		unresponsiveBound)
	stage.Runners[4].Faults.Partial.Store(true)
	stage.Runners[5].Faults.Slowdown.Store(10)
	stage.span(0.5)
	stage.Runners[4].Faults.Partial.Store(false)
	stage.Runners[5].Faults.Slowdown.Store(1)
	return nil
}

func addressReused(stage *Stage) error {
	const number = 6
	stage.span(0.2)
	previous := stage.Runners[number]
	stage.Harm("a stranger takes over runner 6's address", previous, 5*time.Second, 0)
	previous.Crash()
	identity := emulator.Identity{
		ID:      "stranger",
		Address: previous.Address,
		Zone:    previous.Zone,
		Service: "somebody-elses",
		Model:   previous.Model,
		Weights: previous.Weights,
		Backend: previous.Backend,
	}
	stranger, err := emulator.Start(identity, emulator.DefaultProfile, stage.Record)
	if err != nil {
		return err
	}
	// The platform goes on listing the gone runner for a while, which is when the mistake would be made.
	stage.span(0.5)
	stage.Remove(number, false)
	stage.span(0.6)
	stage.Platform.Set(stranger, emulator.StateReady)
	stage.span(0.9)
	stranger.Crash()
	return nil
}

func rollingRelease(stage *Stage) error {
	step := 0.8 / float64(stage.Shape.Runners)
	for number := range stage.Shape.Runners {
		stage.span(0.1 + step*float64(number))
		leaving := stage.Runners[number]
		stage.Platform.Set(leaving, emulator.StateDraining)
		go func() {
			timer := time.NewTimer(4 * time.Second)
			<-timer.C
			// A release waits a while for runs to end, then does not care.
			stage.Harm("ended by the release", leaving, time.Second, 0)
			stage.Platform.Remove(leaving)
			leaving.Crash()
		}()
		if err := stage.replaceAt(number); err != nil {
			return err
		}
	}
	return nil
}

// replaceAt starts a runner in a number's place at an address of its own, beside the one that leaves.
func (stage *Stage) replaceAt(number int) error {
	stage.Fleet.mutex.Lock()
	stage.Fleet.retired++
	incarnation := stage.Fleet.retired
	previous := stage.Fleet.Runners[number]
	stage.Fleet.mutex.Unlock()
	identity := emulator.Identity{
		ID:      fmt.Sprintf("r%02d-%d", number, incarnation),
		Address: fmt.Sprintf("127.%d.%d.%d:9100", stage.Shape.Net, 150+number%len(stage.Shape.Zones), number+1),
		Zone:    previous.Zone,
		Service: previous.Service,
		Model:   previous.Model,
		Weights: previous.Weights,
		Backend: previous.Backend,
	}
	fresh, err := emulator.Start(identity, emulator.DefaultProfile, stage.Record)
	if err != nil {
		return err
	}
	stage.Fleet.mutex.Lock()
	stage.Fleet.Runners[number] = fresh
	stage.Fleet.mutex.Unlock()
	stage.Platform.Set(fresh, emulator.StateCold)
	go stage.warm(fresh)
	return nil
}

func daemonFrozen(stage *Stage) error {
	for index, number := range []int{1, 4, 7} {
		stage.span(0.1 + 0.25*float64(index))
		daemon := stage.Datas()[number]
		stage.Fault(daemon.Name+" frozen", daemon, true, time.Duration(float64(stage.Options.Seconds)*0.15)*time.Second)
		daemon.Signal(syscall.SIGSTOP)
		stage.change(stage.Cores()[1], fmt.Sprint("frozen-", index))
		stage.span(0.1 + 0.25*float64(index) + 0.15)
		daemon.Signal(syscall.SIGCONT)
	}
	return nil
}

func clientsLeave(stage *Stage) error {
	const dark = 2
	stage.span(0.1)
	stage.Harm(fmt.Sprintf("runner %d goes dark", dark), stage.Runners[dark],
		time.Duration(stage.Options.Seconds)*time.Second, unresponsiveBound)
	stage.Runners[dark].Faults.Unresponsive.Store(true)
	stage.span(0.2)
	stage.Scale(4)
	stage.span(0.5)
	stage.Scale(1)
	return daemonFrozen(stage)
}

func daemonKilled(stage *Stage) error {
	for index, number := range []int{2, 5, 8} {
		stage.span(0.1 + 0.25*float64(index))
		daemon := stage.Datas()[number]
		stage.Fault(daemon.Name+" killed", daemon, true, 2*time.Second)
		daemon.Kill()
		stage.change(stage.Cores()[1], fmt.Sprint("killed-", index))
		stage.span(0.1 + 0.25*float64(index) + 0.1)
		if err := stage.Start(daemon); err != nil {
			return err
		}
	}
	return nil
}

func coreFrozen(stage *Stage) error {
	for index := range 2 {
		stage.span(0.1 + 0.45*float64(index))
		head := stage.Cores()[index]
		stage.Fault(head.Name+" frozen", head, false, 5*time.Second)
		go stage.change(head, fmt.Sprint("into-the-freeze-", index))
		head.Signal(syscall.SIGSTOP)
		stage.change(stage.Cores()[2], fmt.Sprint("beside-the-freeze-", index))
		stage.span(0.1 + 0.45*float64(index) + 0.2)
		head.Signal(syscall.SIGCONT)
		stage.change(head, fmt.Sprint("after-the-freeze-", index))
	}
	return nil
}

func coreWiped(stage *Stage) error {
	stage.span(0.2)
	core := stage.Cores()[1]
	stage.Fault(core.Name+" loses its disk", core, false, 5*time.Second)
	core.Kill()
	if err := os.RemoveAll(core.Settings.Folder); err != nil {
		return err
	}
	stage.change(stage.Cores()[0], "without-it")
	stage.span(0.4)
	if err := stage.Start(core); err != nil {
		return err
	}
	stage.span(0.8)
	stage.change(core, "through-it")
	return nil
}

// swap replaces a control machine by a blank one at a new address.
func (stage *Stage) swap(number int) error {
	previous := stage.Cores()[number]
	stage.Fault(previous.Name+" swapped for a blank one at a new address", previous, false, 5*time.Second)
	previous.Kill()
	machine := previous.Machine
	settings := previous.Settings
	settings.Address = fmt.Sprintf("127.%d.%d.%d:7100", stage.Shape.Net, 200, number+1)
	settings.HTTP = fmt.Sprintf("127.%d.%d.%d:8100", stage.Shape.Net, 200, number+1)
	settings.Folder = filepath.Join(stage.Folder, machine.Name+"-swapped")
	machine.Core = &Program{Name: machine.Name + ".core-swapped", Kind: "wtcore", Machine: machine, Settings: settings}
	if err := stage.write(machine.Core); err != nil {
		return err
	}
	return stage.Start(machine.Core)
}

func coreSwapped(stage *Stage) error {
	count := len(stage.Cores())
	for number := range count {
		stage.span(0.05 + 0.85*float64(number)/float64(count))
		if err := stage.swap(number); err != nil {
			return err
		}
		stage.change(stage.Cores()[(number+1)%count], fmt.Sprint("swap-", number))
	}
	stage.span(0.95)
	stage.change(stage.Cores()[0], "after-all")
	return nil
}

func controlOff(stage *Stage) error {
	stage.span(0.2)
	for _, core := range stage.Cores() {
		core.Kill()
	}
	stage.span(0.7)
	for _, core := range stage.Cores() {
		if err := stage.Start(core); err != nil {
			return err
		}
	}
	back := time.Now()
	order := stage.change(stage.Cores()[0], "after-control")
	if !Await(12*time.Second, func() bool {
		if order.Outcome != "accepted" {
			order = stage.change(stage.Cores()[0], fmt.Sprint("after-control-", time.Since(back)))
		}
		return order.Outcome == "accepted"
	}) {
		return errors.New("no change was accepted within 12 s of the control plane's return")
	}
	return nil
}

func zoneLost(stage *Stage) error {
	stage.span(0.2)
	zone := stage.Shape.Zones[0]
	var lost []*Program
	for _, program := range stage.Programs() {
		if program.Machine.Zone == zone {
			stage.Fault(program.Name+" lost with its zone", program, true, 4*time.Second)
			program.Kill()
			lost = append(lost, program)
		}
	}
	for number, runner := range stage.Runners {
		if runner.Zone == zone {
			stage.Harm("lost with its zone", runner, time.Second, 0)
			stage.Remove(number, true)
		}
	}
	stage.change(stage.Cores()[1], "without-the-zone")
	stage.span(0.6)
	for _, program := range lost {
		if err := stage.Start(program); err != nil {
			return err
		}
	}
	for number := range stage.Shape.Runners {
		if number%len(stage.Shape.Zones) == 0 {
			if _, err := stage.AddRunner(number, ""); err != nil {
				return err
			}
		}
	}
	return nil
}

// restartAll kills every process and starts them again.
func (stage *Stage) restartAll(what string) error {
	for _, program := range stage.Programs() {
		stage.Fault(program.Name+" "+what, program, true, 5*time.Second)
		program.Signal(syscall.SIGKILL)
	}
	for _, program := range stage.Programs() {
		program.Kill()
	}
	for _, program := range stage.Programs() {
		if err := stage.Start(program); err != nil {
			return err
		}
	}
	back := histories.Return{At: time.Now()}
	stage.Record.Change(func(record *histories.History) { record.Returns = append(record.Returns, back) })
	return nil
}

func allDown(stage *Stage) error {
	stage.span(0.15)
	stage.change(stage.Cores()[0], "before")
	if err := stage.restartAll("killed with all others"); err != nil {
		return err
	}
	stage.span(0.9)
	stage.change(stage.Cores()[0], "afterwards")
	return nil
}

func storm(stage *Stage) error {
	var waiting sync.WaitGroup
	until := stage.started.Add(time.Duration(float64(stage.Options.Seconds)*0.9) * time.Second)
	for operator := range 2 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for number := 0; time.Now().Before(until) && number < 400; number++ {
				stage.change(stage.Cores()[operator], fmt.Sprintf("storm-%d-%d", operator, number))
			}
		}()
	}
	waiting.Wait()
	return nil
}

func manyRoutes(stage *Stage) error {
	stage.span(0.2)
	const count = 5000
	markers := make([]string, 0, count)
	for number := range count {
		markers = append(markers, fmt.Sprint("route-", number))
	}
	order := &histories.Order{
		Operation: "many",
		Verb:      "apply",
		Base:      stage.present(),
		HasBase:   true,
		Spec:      stage.Shape.Mix.Spec(stage.Shape.Zones, markers...),
	}
	stage.order(order, stage.Cores()[1], "PUT", fmt.Sprintf("/v1/spec?base=%d&operation=many", order.Base),
		order.Spec.Encode())
	if order.Outcome != "accepted" {
		return fmt.Errorf("five thousand lanes: %+v", order)
	}
	stage.span(0.6)
	stage.change(stage.Cores()[0], "few-again")
	return nil
}

func zonesClosed(stage *Stage) error {
	for index, zone := range stage.Shape.Zones {
		begin := 0.05 + 0.9*float64(index)/float64(len(stage.Shape.Zones))
		stage.span(begin)
		stage.Zone(stage.Cores()[index], "close-"+zone, "close", zone)
		stage.span(begin + 0.8/float64(len(stage.Shape.Zones)))
		stage.Zone(stage.Cores()[index], "open-"+zone, "open", zone)
	}
	return nil
}

func rollingRestart(stage *Stage) error {
	programs := stage.Programs()
	for index, program := range programs {
		stage.span(0.05 + 0.9*float64(index)/float64(len(programs)))
		program.Signal(syscall.SIGTERM)
		<-program.Finished()
		if err := stage.Start(program); err != nil {
			return err
		}
	}
	return nil
}

func faultAtTheEnd(stage *Stage) error {
	stage.span(0.97)
	order := stage.change(stage.Cores()[0], "last")
	if order.Outcome != "accepted" {
		return fmt.Errorf("the last change: %+v", order)
	}
	return stage.restartAll("killed at the very end")
}
