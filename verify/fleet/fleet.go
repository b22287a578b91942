// Package fleet runs a whole deployment as real processes on loopback: every machine has its own
// address, settings and, where it has a disk, data folder.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wardtray/config/process"
	"wardtray/verify/emulator"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// Shape is one deployment.
type Shape struct {
	Name string
	// Net is the second byte of the machines' addresses.
	Net   int
	Zones []string
	// Machines is how many stand in each zone; Disks how many of these have a disk.
	Machines, Disks []int
	Runners         int
	Mix             loadtest.Mix
	Rate            float64
}

// Shapes are the two deployments of the brief.
var Shapes = map[string]Shape{
	"guild": {
		Name:     "guild",
		Net:      40,
		Zones:    []string{"bangor", "dolgellau", "caerdydd"},
		Machines: []int{4, 4, 4},
		Disks:    []int{1, 1, 1},
		Runners:  18,
		Mix:      loadtest.Guild,
		Rate:     60,
	},
	"ferries": {
		Name:     "ferries",
		Net:      50,
		Zones:    []string{"north", "quay", "isle", "south"},
		Machines: []int{3, 3, 3, 2},
		Disks:    []int{1, 1, 1, 1},
		Runners:  18,
		Mix:      loadtest.Ferries,
		Rate:     60,
	},
}

// Program is one process of the fleet.
type Program struct {
	Name     string
	Kind     string
	Machine  *Machine
	Settings process.Settings
	file     string
	log      string
	mutex    sync.Mutex
	command  *exec.Cmd
	finished chan struct{}
}

// Machine is one machine.
type Machine struct {
	Name, IP, Zone string
	Disk           bool
	Data, Core     *Program
}

// Fleet is a running deployment.
type Fleet struct {
	Shape    Shape
	Folder   string
	Binaries string
	Machines []*Machine
	Runners  []*emulator.Runner
	Platform *emulator.Platform
	Record   *histories.History
	seed     int64
	client   *http.Client
	retired  int
	mutex    sync.Mutex
}

// New lays out a fleet in a folder; nothing runs yet.
func New(shape Shape, folder, binaries string, seed int64) (*Fleet, error) {
	fleet := &Fleet{Shape: shape, Folder: folder, Binaries: binaries, Record: histories.New(), seed: seed,
		client: &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	var seeds []string
	for index, zone := range shape.Zones {
		for number := range shape.Machines[index] {
			machine := &Machine{
				Name: fmt.Sprintf("%s-%d", zone, number+1),
				IP:   fmt.Sprintf("127.%d.%d.%d", shape.Net, index+1, number+1),
				Zone: zone,
				Disk: number < shape.Disks[index],
			}
			fleet.Machines = append(fleet.Machines, machine)
			if machine.Disk && len(seeds) < 3 {
				seeds = append(seeds, machine.IP+":7100")
			}
		}
	}
	platform := fmt.Sprintf("127.%d.250.1:9000", shape.Net)
	for _, machine := range fleet.Machines {
		machine.Data = &Program{
			Name:    machine.Name + ".data",
			Kind:    "wtdata",
			Machine: machine,
			Settings: process.Settings{
				Address: machine.IP + ":7200", HTTP: machine.IP + ":8200", Zone: machine.Zone, Seeds: seeds,
				Platform: "http://" + platform + "/runners", Drain: "2s"},
		}
		if machine.Disk {
			machine.Core = &Program{
				Name:    machine.Name + ".core",
				Kind:    "wtcore",
				Machine: machine,
				Settings: process.Settings{
					Address: machine.IP + ":7100", HTTP: machine.IP + ":8100", Zone: machine.Zone, Seeds: seeds,
					Folder: filepath.Join(folder, machine.Name)},
			}
		}
	}
	for _, program := range fleet.Programs() {
		if err := fleet.write(program); err != nil {
			return nil, err
		}
	}
	fleet.Record.Zones, fleet.Record.Service, fleet.Record.Weights = shape.Zones, shape.Mix.Service, shape.Mix.Weights
	fleet.Record.Daemons = len(fleet.Machines)
	daemons := map[string][]string{}
	for _, machine := range fleet.Machines {
		daemons[machine.Zone] = append(daemons[machine.Zone], machine.Data.Settings.HTTP)
	}
	var err error
	fleet.Platform, err = emulator.NewPlatform(platform, daemons, fleet.Record, seed)
	return fleet, err
}

func (fleet *Fleet) write(program *Program) error {
	program.file = filepath.Join(fleet.Folder, program.Name+".json")
	program.log = filepath.Join(fleet.Folder, program.Name+".log")
	content, err := json.MarshalIndent(program.Settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(program.file, content, 0o640)
}

// Programs returns every process, control plane first.
func (fleet *Fleet) Programs() []*Program {
	var programs []*Program
	for _, machine := range fleet.Machines {
		if machine.Core != nil {
			programs = append(programs, machine.Core)
		}
	}
	for _, machine := range fleet.Machines {
		programs = append(programs, machine.Data)
	}
	return programs
}

// Cores returns the control plane's processes.
func (fleet *Fleet) Cores() []*Program { return fleet.ofKind("wtcore") }

// Datas returns the data plane's processes.
func (fleet *Fleet) Datas() []*Program { return fleet.ofKind("wtdata") }

func (fleet *Fleet) ofKind(kind string) []*Program {
	var programs []*Program
	for _, program := range fleet.Programs() {
		if program.Kind == kind {
			programs = append(programs, program)
		}
	}
	return programs
}

// Start begins a process.
func (fleet *Fleet) Start(program *Program) error {
	program.mutex.Lock()
	defer program.mutex.Unlock()
	log, err := os.OpenFile(program.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	// The process has a descriptor of its own.
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(
		context.Background(), filepath.Join(fleet.Binaries, program.Kind), "--startup", program.file)
	command.Stdout, command.Stderr = log, log
	// A proof that dies must not leave a fleet behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := command.Start(); err != nil {
		return err
	}
	program.command, program.finished = command, make(chan struct{})
	finished := program.finished
	go func() {
		// A process that was killed ends with an error that says just that.
		_ = command.Wait()
		close(finished)
	}()
	return nil
}

// Signal sends a signal to a process.
func (program *Program) Signal(signal syscall.Signal) {
	program.mutex.Lock()
	defer program.mutex.Unlock()
	if program.command != nil {
		_ = program.command.Process.Signal(signal)
	}
}

// Finished is closed when the process has ended.
func (program *Program) Finished() <-chan struct{} {
	program.mutex.Lock()
	defer program.mutex.Unlock()
	return program.finished
}

// Kill ends a process at once and waits for its end.
func (program *Program) Kill() {
	program.Signal(syscall.SIGKILL)
	if finished := program.Finished(); finished != nil {
		<-finished
	}
}

// StartAll begins every process and every runner.
func (fleet *Fleet) StartAll() error {
	for _, program := range fleet.Programs() {
		if err := fleet.Start(program); err != nil {
			return err
		}
	}
	for number := range fleet.Shape.Runners {
		if _, err := fleet.AddRunner(number, ""); err != nil {
			return err
		}
	}
	return nil
}

// AddRunner starts a runner in the place of a number, under a new identity.
func (fleet *Fleet) AddRunner(number int, weights string) (*emulator.Runner, error) {
	zone := number % len(fleet.Shape.Zones)
	fleet.mutex.Lock()
	fleet.retired++
	incarnation := fleet.retired
	fleet.mutex.Unlock()
	if weights == "" {
		weights = fleet.Shape.Mix.Weights
	}
	identity := emulator.Identity{
		ID:      fmt.Sprintf("r%02d-%d", number, incarnation),
		Address: fmt.Sprintf("127.%d.%d.%d:9100", fleet.Shape.Net, 100+zone, number+1),
		Zone:    fleet.Shape.Zones[zone],
		Service: fleet.Shape.Mix.Service,
		Model:   fleet.Shape.Mix.Model,
		Weights: weights,
		Backend: fleet.Shape.Mix.Pool,
	}
	runner, err := emulator.Start(identity, emulator.DefaultProfile, fleet.Record)
	if err != nil {
		return nil, err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for len(fleet.Runners) <= number {
		fleet.Runners = append(fleet.Runners, nil)
	}
	fleet.Runners[number] = runner
	fleet.Platform.Set(runner, emulator.StateCold)
	go fleet.warm(runner)
	return runner, nil
}

func (fleet *Fleet) warm(runner *emulator.Runner) {
	timer := time.NewTimer(emulator.DefaultProfile.ColdTime)
	<-timer.C
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, present := range fleet.Runners {
		if present == runner {
			fleet.Platform.Set(runner, emulator.StateReady)
		}
	}
}

// Remove takes a runner off the list and forgets it; crash ends it too.
func (fleet *Fleet) Remove(number int, crash bool) {
	fleet.mutex.Lock()
	runner := fleet.Runners[number]
	fleet.Runners[number] = nil
	fleet.mutex.Unlock()
	if runner == nil {
		return
	}
	fleet.Platform.Remove(runner)
	if crash {
		runner.Crash()
	}
}

// Stop ends everything.
func (fleet *Fleet) Stop() {
	for _, program := range fleet.Programs() {
		program.Signal(syscall.SIGCONT)
		program.Kill()
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, runner := range fleet.Runners {
		if runner != nil {
			runner.Crash()
		}
	}
	fleet.Platform.Close()
}

// Fault records that something is done to the fleet until a time.
func (fleet *Fleet) Fault(what string, program *Program, kills bool, length time.Duration) {
	fault := histories.Fault{At: time.Now(), Until: time.Now().Add(length), What: what, Kills: kills}
	if program != nil && program.Kind == "wtdata" {
		fault.Daemon = program.Settings.HTTP
	}
	fleet.Record.Change(func(record *histories.History) { record.Faults = append(record.Faults, fault) })
}

// Harm records that something is done to a runner until a time; knowable is how long it may take the
// others to know of it.
func (fleet *Fleet) Harm(what string, runner *emulator.Runner, length, knowable time.Duration) {
	fault := histories.Fault{
		At:       time.Now(),
		Until:    time.Now().Add(length),
		What:     what,
		Runner:   runner.ID,
		Knowable: knowable,
	}
	fleet.Record.Change(func(record *histories.History) { record.Faults = append(record.Faults, fault) })
}

// Sample notes how much room the backend truly has, until it is told to stop.
func (fleet *Fleet) Sample(running context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for running.Err() == nil {
		<-ticker.C
		room := histories.CapacitySample{At: time.Now(), Free: map[string]int{}, Slots: map[string]int{}}
		fleet.mutex.Lock()
		for _, runner := range fleet.Runners {
			if runner == nil || !fleet.Platform.Settled(runner) {
				continue
			}
			free, slots := runner.Capacity()
			room.Free[runner.Zone] += free
			room.Slots[runner.Zone] += slots
		}
		fleet.mutex.Unlock()
		fleet.Record.Change(
			func(record *histories.History) { record.CapacitySamples = append(record.CapacitySamples, room) },
		)
	}
}

// Reply is an operator's answer.
type Reply struct {
	Status  int
	Outcome string
	Epoch   uint64
	Kind    string
	Spec    json.RawMessage
}

func (fleet *Fleet) call(method, address, path string, body []byte) (Reply, error) {
	request, err := http.NewRequestWithContext(
		context.Background(), method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	response, err := fleet.client.Do(request)
	if err != nil {
		return Reply{}, err
	}
	// The body was read; its close can lose nothing.
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Status: response.StatusCode}
	return reply, json.Unmarshal(content, &reply)
}

// Apply sends a spec to a core, and records it.
func (fleet *Fleet) Apply(program *Program, operation string, base uint64, marker string) *histories.Order {
	var markers []string
	if marker != "" {
		markers = []string{marker}
	}
	order := &histories.Order{
		Operation: operation,
		Verb:      "apply",
		Base:      base,
		HasBase:   true,
		Marker:    marker,
		Spec:      fleet.Shape.Mix.Spec(fleet.Shape.Zones, markers...),
	}
	fleet.order(order, program, "PUT", fmt.Sprintf("/v1/spec?base=%d&operation=%s", base, operation),
		order.Spec.Encode())
	return order
}

// Zone closes or opens a zone through a core, and records it.
func (fleet *Fleet) Zone(program *Program, operation, verb, zone string) *histories.Order {
	order := &histories.Order{Operation: operation, Verb: verb, Zone: zone}
	fleet.order(order, program, "POST", fmt.Sprintf("/v1/zones/%s/%s?operation=%s", zone, verb, operation), nil)
	return order
}

func (fleet *Fleet) order(order *histories.Order, program *Program, method, path string, body []byte) {
	order.Sent = time.Now()
	reply, err := fleet.call(method, program.Settings.HTTP, path, body)
	order.Got, order.HTTPStatus, order.Outcome, order.Epoch = time.Now(), reply.Status, reply.Outcome, reply.Epoch
	if err != nil {
		order.Outcome = "unknown"
	}
	fleet.Record.Change(func(record *histories.History) { record.Orders = append(record.Orders, order) })
}

// Get reads the present spec through a core.
func (fleet *Fleet) Get(program *Program) (Reply, error) {
	return fleet.call("GET", program.Settings.HTTP, "/v1/spec", nil)
}

// Finish asks what the fleet says at the end, for the checker.
func (fleet *Fleet) Finish(program *Program) error {
	reply, err := fleet.Get(program)
	if err != nil {
		return fmt.Errorf("asking for the spec at the end: %w", err)
	}
	if reply.Status != http.StatusOK {
		return fmt.Errorf("asking for the spec at the end: status %d", reply.Status)
	}
	final := histories.Final{Asked: true, Epoch: reply.Epoch, Known: map[string]uint64{}}
	held := struct {
		Routes []struct{ Name string } `json:"lanes"`
	}{}
	if err := json.Unmarshal(reply.Spec, &held); err != nil {
		return err
	}
	for _, route := range held.Routes {
		final.Routes = append(final.Routes, route.Name)
	}
	var operations []string
	fleet.Record.Change(func(record *histories.History) {
		for _, order := range record.Orders {
			operations = append(operations, order.Operation)
		}
	})
	for _, operation := range operations {
		reply, err := fleet.call("GET", program.Settings.HTTP, "/v1/operations/"+operation, nil)
		if err != nil {
			return err
		}
		if reply.Status == 200 {
			final.Known[operation] = reply.Epoch
		}
	}
	fleet.Record.Change(func(record *histories.History) { record.Final = final })
	return nil
}

// Await asks until something holds or the time is up.
func Await(length time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(length)
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			return false
		}
		<-ticker.C
	}
	return true
}
