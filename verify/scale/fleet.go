package scale

import (
	"bufio"
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

	"wardtray/apierror"
	"wardtray/config/process"
	"wardtray/control/node"
	"wardtray/control/operator"
	"wardtray/control/server"
)

// perHost is how many daemons one process carries at most: each has up to seven sockets and more with more cores.
const perHost = 900

// Options say how large a hollow fleet is and what is done to it.
type Options struct {
	Daemons int
	Runners int
	// Listed tells that runners are read from a list by one daemon of each zone; otherwise they call the cores.
	Listed   bool
	Cores    int
	Routes   int
	Backends int
	// Processors bounds the processors that all hosts together use, CoreProcessors those of one core.
	Processors     int
	CoreProcessors int
	// Memory bounds what all processes together may hold.
	Memory  uint64
	Seed    int64
	Network int
	// Quiet is for how long the fleet is left alone; Founding bounds how long it may take to come up.
	Quiet    time.Duration
	Founding time.Duration
	// Phases are the names of what is done after the quiet.
	Phases []string
	// Faults are done while changes are made, after the quiet and before the phases.
	Faults FaultPlan
	// Slow is how many times slower the daemons' clocks run than the cores'; 0 for what fits the size.
	Slow float64
	// Bound is how long the whole run may take.
	Bound    time.Duration
	Binaries string
	// Program is run with Hidden to carry a host; without it one host runs in this process.
	Program string
	Folder  string
	Output  io.Writer
}

// Hidden is the argument that makes a program carry a host.
const Hidden = "hollow-host"

// carrier is a host as the fleet drives it.
type carrier interface {
	do(order Order) Report
	close()
	id() int
}

// inside is a host in this very process.
type inside struct{ *host }

func (inside) id() int { return os.Getpid() }

// outside is a host in a process of its own.
type outside struct {
	mutex   sync.Mutex
	command *exec.Cmd
	encoder *json.Encoder
	decoder *json.Decoder
	input   io.Closer
}

func (outside *outside) id() int { return outside.command.Process.Pid }

func (outside *outside) do(order Order) Report {
	outside.mutex.Lock()
	defer outside.mutex.Unlock()
	report := Report{}
	if err := outside.encoder.Encode(order); err != nil {
		return Report{Failure: err.Error()}
	}
	if err := outside.decoder.Decode(&report); err != nil {
		return Report{Failure: err.Error()}
	}
	return report
}

func (outside *outside) close() {
	_ = outside.input.Close()
	_ = outside.command.Wait()
}

// Carry runs a host that takes its plan and its orders as JSON from input and reports to output.
func Carry(input io.Reader, output io.Writer) error {
	decoder, encoder := json.NewDecoder(input), json.NewEncoder(output)
	plan := Plan{}
	if err := decoder.Decode(&plan); err != nil {
		return apierror.Wrap(err, apierror.BadSettings, "the plan of a hollow host")
	}
	host, err := newHost(plan)
	if err != nil {
		return err
	}
	defer host.close()
	for {
		order := Order{}
		if err := decoder.Decode(&order); err != nil {
			return nil // The end of the orders is the end of the host.
		}
		if err := encoder.Encode(host.do(order)); err != nil {
			return apierror.Wrap(err, apierror.Internal, "reporting")
		}
	}
}

// coreProcess is one real wtcore.
type coreProcess struct {
	place   Place
	file    string
	command *exec.Cmd
	// dark tells that the process is stopped and answers nothing, as a machine without power.
	dark bool
}

// fleet is a hollow fleet that runs.
type fleet struct {
	options  Options
	hosts    []carrier
	cores    []*coreProcess
	client   *operator.Client
	http     *http.Client
	epoch    uint64
	mark     int
	started  time.Time
	told     time.Time
	exceeded bool
	// pace is how many times slower than the machine's the daemons' clocks run now.
	pace  float64
	crowd *crowd
}

// open starts the hosts and lays out the cores; no daemon and no core runs yet.
func open(options Options) (*fleet, error) {
	count := (options.Daemons + perHost - 1) / perHost
	if options.Program == "" {
		count = 1
	}
	fleet := &fleet{options: options, started: time.Now(), pace: options.Slow, http: &http.Client{Timeout: 10 * time.Second}}
	places := corePlaces(options.Network, options.Cores)
	var addresses, seeds []string
	for _, place := range places {
		addresses = append(addresses, place.HTTP)
		if len(seeds) < 3 {
			seeds = append(seeds, place.Address)
		}
	}
	fleet.client = operator.New(addresses)
	for number, place := range places {
		made := &coreProcess{place: place, file: filepath.Join(options.Folder, fmt.Sprintf("core-%d.json", number))}
		content, err := json.Marshal(process.Settings{Address: place.Address, HTTP: place.HTTP, Zone: place.Zone, Seeds: seeds,
			Folder: filepath.Join(options.Folder, fmt.Sprintf("core-%d", number)), Log: "warn"})
		if err == nil {
			err = os.WriteFile(made.file, content, 0o640)
		}
		if err != nil {
			return nil, apierror.Wrap(err, apierror.BadSettings, "a core's startup file")
		}
		fleet.cores = append(fleet.cores, made)
	}
	for number := range count {
		processors := max(1, options.Processors/count)
		plan := Plan{Network: options.Network, Host: number, Hosts: count, Daemons: options.Daemons, Spare: spares, Cores: places, Runners: options.Runners, Listed: options.Listed,
			Workers: processors, Witnesses: 4, Seed: options.Seed, Processors: processors, Memory: int64(options.Memory) / int64(count), Slow: options.Slow}
		if err := fleet.carry(plan); err != nil {
			fleet.close()
			return nil, err
		}
	}
	return fleet, nil
}

func (fleet *fleet) carry(plan Plan) error {
	if fleet.options.Program == "" {
		// This process has other work too, whose bounds are not the host's to set.
		plan.Processors, plan.Memory = 0, 0
		made, err := newHost(plan)
		if err == nil {
			fleet.hosts = append(fleet.hosts, inside{made})
		}
		return err
	}
	command := exec.Command(fleet.options.Program, Hidden)
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := command.StdinPipe()
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "a hollow host's input")
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "a hollow host's output")
	}
	if err := command.Start(); err != nil {
		return apierror.Wrap(err, apierror.BadSettings, "starting a hollow host")
	}
	made := &outside{command: command, encoder: json.NewEncoder(input), decoder: json.NewDecoder(bufio.NewReader(output)), input: input}
	fleet.hosts = append(fleet.hosts, made)
	return apierror.Wrap(made.encoder.Encode(plan), apierror.BadSettings, "the plan of a hollow host")
}

// startCore begins a wtcore.
func (fleet *fleet) startCore(process *coreProcess) error {
	log, err := os.OpenFile(process.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return apierror.Wrap(err, apierror.BadSettings, "a core's log")
	}
	defer log.Close()
	command := exec.Command(filepath.Join(fleet.options.Binaries, "wtcore"), "--startup", process.file)
	command.Stdout, command.Stderr = log, log
	// A measurement that dies must not leave a fleet behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", fleet.options.CoreProcessors))
	if err := command.Start(); err != nil {
		return apierror.Wrap(err, apierror.BadSettings, "starting wtcore")
	}
	process.command = command
	return nil
}

// kill ends a core at once.
func (process *coreProcess) kill() {
	if process.command != nil {
		_ = process.command.Process.Kill()
		_ = process.command.Wait()
		process.command = nil
	}
	process.dark = false
}

// darken lets a core fall silent without its connections being closed, as a machine that lost its power.
func (process *coreProcess) darken() {
	process.signal(syscall.SIGSTOP)
	process.dark = true
}

func (process *coreProcess) signal(signal syscall.Signal) {
	if process.command != nil {
		_ = process.command.Process.Signal(signal)
	}
}

func (fleet *fleet) close() {
	if fleet.crowd != nil {
		fleet.crowd.close()
	}
	for _, process := range fleet.cores {
		process.signal(syscall.SIGCONT)
		process.kill()
	}
	var waiting sync.WaitGroup
	for _, host := range fleet.hosts {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			host.close()
		}()
	}
	waiting.Wait()
}

// order asks all hosts at once and adds up what they report.
func (fleet *fleet) order(order Order) Report {
	reports := make([]Report, len(fleet.hosts))
	var waiting sync.WaitGroup
	for place, host := range fleet.hosts {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			reports[place] = host.do(order)
		}()
	}
	waiting.Wait()
	return sum(reports)
}

func sum(reports []Report) Report {
	total := Report{Spent: map[string]Spent{}, Arrivals: map[uint64][]time.Duration{}}
	flows := map[Flow]Count{}
	for _, report := range reports {
		if report.Failure != "" {
			total.Failure = report.Failure
		}
		total.Up += report.Up
		total.Serving += report.Serving
		if report.Asked > 0 {
			if total.Asked == 0 || report.Least < total.Least {
				total.Least = report.Least
			}
			total.Most = max(total.Most, report.Most)
		}
		total.Asked += report.Asked
		total.Dropped += report.Dropped
		total.Searches += report.Searches
		total.Leases = append(total.Leases, report.Leases...)
		total.Used += report.Used
		total.Heap += report.Heap
		for _, line := range report.Flows {
			count := flows[line.Flow]
			count.Messages += line.Messages
			count.Bytes += line.Bytes
			flows[line.Flow] = count
		}
		for kind, spent := range report.Spent {
			held := total.Spent[kind]
			held.Steps += spent.Steps
			held.Time += spent.Time
			total.Spent[kind] = held
		}
		for place, count := range report.Late.Buckets {
			total.Late.Buckets[place] += count
		}
		for epoch, moments := range report.Arrivals {
			total.Arrivals[epoch] = append(total.Arrivals[epoch], moments...)
		}
	}
	for flow, count := range flows {
		total.Flows = append(total.Flows, FlowLine{Flow: flow, Count: count})
	}
	return total
}

// status asks a core for its state; a core that does not answer gives an empty one.
func (fleet *fleet) status(process *coreProcess) server.Status {
	status := server.Status{}
	if process.command == nil || process.dark {
		return status
	}
	response, err := fleet.http.Get("http://" + process.place.HTTP + "/v1/status")
	if err != nil {
		return status
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return server.Status{}
	}
	return status
}

// member gives the core in a place of the chain, "head" or "tail", or nil.
func (fleet *fleet) member(place string) *coreProcess {
	for _, process := range fleet.cores {
		if status := fleet.status(process); status.Core.Place == place || status.Core.Place == "head and tail" {
			return process
		}
	}
	return nil
}

// leader gives the status of the core that acts as head, or an empty one.
func (fleet *fleet) leader() server.Status {
	for _, process := range fleet.cores {
		if status := fleet.status(process); status.Core.Leading {
			return status
		}
	}
	return server.Status{}
}

// tell shows progress.
func (fleet *fleet) tell(format string, values ...any) {
	fmt.Fprintf(fleet.options.Output, "%6.1fs  %s\n", time.Since(fleet.started).Seconds(), fmt.Sprintf(format, values...))
}

// resident is the memory of all processes together.
func (fleet *fleet) resident() (hosts, cores uint64) {
	for _, host := range fleet.hosts {
		_, held := usage(host.id())
		hosts += held
	}
	for _, process := range fleet.cores {
		if process.command != nil {
			_, held := usage(process.command.Process.Pid)
			cores += held
		}
	}
	return hosts, cores
}

// await asks until something holds or the time is up, shows progress and ends what takes too much memory.
func (fleet *fleet) await(length time.Duration, what string, holds func() (bool, string)) (time.Duration, bool) {
	started := time.Now()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		held, state := holds()
		if held {
			return time.Since(started), true
		}
		if hosts, cores := fleet.resident(); hosts+cores > fleet.options.Memory {
			fleet.exceeded = true
			fleet.tell("%s: ended, %d MiB are more than --memory", what, (hosts+cores)>>20)
			return time.Since(started), false
		}
		if time.Since(started) > length {
			fleet.tell("%s: not within %v; %s", what, length, state)
			return time.Since(started), false
		}
		if time.Since(fleet.told) > 2*time.Second {
			fleet.told = time.Now()
			fleet.tell("%s: %s", what, state)
		}
		<-ticker.C
	}
}

// change sends a spec built on the newest epoch that this fleet's operator knows.
func (fleet *fleet) change() (node.Reply, time.Duration, error) {
	fleet.mark++
	started := time.Now()
	reply, err := fleet.client.Apply(fleetSpec(fleet.options.Routes, fleet.options.Backends, fleet.mark),
		operator.Change{Base: fleet.epoch, Operation: fmt.Sprintf("change-%d-%d", fleet.options.Seed, fleet.mark)})
	took := time.Since(started)
	if err == nil && reply.Outcome == "accepted" {
		fleet.epoch = reply.Epoch
	}
	return reply, took, err
}
