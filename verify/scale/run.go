package scale

import (
	"fmt"
	"maps"
	"math"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"wardtray/apierror"
	"wardtray/control/operator"
)

// spares are daemons at addresses of their own that come in while the fleet runs.
const spares = 4

// Core is one core as seen over a phase.
type Core struct {
	Place string `json:"place"`
	// Processor is its part of one processor; Resident its memory in bytes.
	Processor float64 `json:"processor"`
	Resident  uint64  `json:"resident"`
	Sent      float64 `json:"sent_per_second"`
	Received  float64 `json:"received_per_second"`
	BytesOut  float64 `json:"bytes_out_per_second"`
	BytesIn   float64 `json:"bytes_in_per_second"`
	Dropped   float64 `json:"dropped"`
}

// FlowRate is a flow for each daemon and second.
type FlowRate struct {
	Kind     string  `json:"kind"`
	Way      string  `json:"way"`
	Border   string  `json:"border"`
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

// StepRate is a kind of step: how many a daemon makes in a second, and the processor time of one.
type StepRate struct {
	PerSecond    float64 `json:"per_second"`
	Microseconds float64 `json:"microseconds"`
}

// Phase is what was seen over one part of a run. Figures are by name; those of daemons are for each daemon.
type Phase struct {
	Name    string              `json:"name"`
	Seconds float64             `json:"seconds"`
	Figures map[string]float64  `json:"figures"`
	Flows   []FlowRate          `json:"flows,omitempty"`
	Steps   map[string]StepRate `json:"steps,omitempty"`
	Cores   []Core              `json:"cores,omitempty"`
	// Changes are those that an operator made meanwhile, one by one, where faults were done.
	Changes []ChangeRecord `json:"changes,omitempty"`
	// Notes tell what did not come about and what was left out.
	Notes []string `json:"notes,omitempty"`
	// Upset tells that the machine did not keep up, or that the head fell silent unasked, so that daemons
	// asked each other: such a phase shows that this happens and gives no slope.
	Upset bool `json:"upset,omitempty"`
}

// Run is one hollow fleet from its founding to its end.
type Run struct {
	Daemons   int   `json:"daemons"`
	Runners   int   `json:"runners"`
	Listed    bool  `json:"listed,omitempty"`
	Cores     int   `json:"cores"`
	Routes    int   `json:"lanes"`
	Backends  int   `json:"pools"`
	Seed      int64 `json:"seed"`
	Processes int   `json:"processes"`
	// Slow is how many times slower the daemons' clocks ran than the cores'.
	Slow float64 `json:"slow"`
	// ChangeEvery is how often an operator made a change in a run with faults, in seconds; 0 for never.
	ChangeEvery float64 `json:"change_every,omitempty"`
	// Prefixes and Rate are the sizes of measurements of the request path.
	Prefixes int     `json:"prefixes,omitempty"`
	Rate     float64 `json:"rate,omitempty"`
	Phases   []Phase `json:"phases"`
}

// Results are the runs of one command.
type Results struct {
	// Commit is the product's, Command what was called, Machine what it ran on.
	Commit  string `json:"commit"`
	Command string `json:"command"`
	Machine string `json:"machine"`
	Runs    []Run  `json:"runs"`
}

// NewResults begins the results of a command.
func NewResults(command string) Results {
	results := Results{Command: command, Commit: "unknown", Machine: fmt.Sprintf("%d processors, %s", runtime.NumCPU(), runtime.Version())}
	// A build in a second worktree carries no commit of its own, so the one checked out here is asked first.
	if told, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output(); err == nil {
		results.Commit = strings.TrimSpace(string(told))
		return results
	}
	if information, found := debug.ReadBuildInfo(); found {
		for _, setting := range information.Settings {
			if setting.Key == "vcs.revision" {
				results.Commit = setting.Value[:min(12, len(setting.Value))]
			}
		}
	}
	return results
}

// slowest is the pace up to which a daemon's questions still come within the head's patience.
const slowest = 4

// leastQuiet is for how many of the daemons' own seconds a fleet is left alone at least.
const leastQuiet = 2

// settling is how long a fleet is left before its quiet is measured.
const settling = 4 * time.Second

// perPace is how many daemons a processor of the hosts carries at full speed without falling behind.
const perPace = 60

// upsetBound is how many questions a daemon may send to other cores than the head in a second of an unharmed phase.
const upsetBound = 0.5

// phases are what can be done to a fleet that has been founded and left alone.
var phases = map[string]struct {
	help string
	// silent tells that the head falls silent, so that daemons look for another.
	silent bool
	// prompt tells that the daemons' questions must come as often as the head expects.
	prompt bool
	run    func(fleet *fleet, phase *Phase)
}{
	"change":  {help: "four changes, one after another", run: (*fleet).phaseChange},
	"storm":   {help: "four operators change the spec without a pause", run: (*fleet).phaseStorm, prompt: true},
	"runners": {help: "runners leave one by one and others come in their place", run: (*fleet).phaseRunners, prompt: true},
	"churn":   {help: "daemons restart, others come in at new addresses, one dies during a change", run: (*fleet).phaseChurn, prompt: true},
	"rack":    {help: "a rack of daemons is lost and comes back", run: (*fleet).phaseRack, prompt: true},
	"zone":    {help: "a zone is lost with its core, and comes back", run: (*fleet).phaseZone, prompt: true, silent: true},
	"head":    {help: "the head is killed and comes back", run: (*fleet).phaseHead, prompt: true, silent: true},
	"cut":     {help: "half of the regions lose the others: frames are dropped, the cores of the lesser part frozen", run: (*fleet).phaseCut, prompt: true, silent: true},
}

// PhaseNames lists the phases in the order in which they are run.
func PhaseNames() []string {
	return []string{"change", "storm", "runners", "churn", "rack", "zone", "head", "cut"}
}

// PhaseHelp tells what is done in each phase.
func PhaseHelp() string {
	var lines []string
	for _, name := range PhaseNames() {
		lines = append(lines, name+": "+phases[name].help)
	}
	return strings.Join(lines, "; ")
}

// Measure runs one hollow fleet.
func Measure(options Options) (Run, error) {
	run, err := prepared(&options)
	if err != nil {
		return run, err
	}
	if options.Folder == "" {
		folder, err := os.MkdirTemp("", "hollow")
		if err != nil {
			return run, apierror.Wrap(err, apierror.BadSettings, "a folder for the cores")
		}
		defer os.RemoveAll(folder)
		options.Folder = folder
	}
	fleet, err := open(options)
	if err != nil {
		return run, err
	}
	defer fleet.close()
	run.Processes = len(fleet.hosts) + len(fleet.cores)
	fleet.tell("%d daemons in %d processes, %d cores, %d runners", options.Daemons, len(fleet.hosts), len(fleet.cores), options.Runners)
	founded, err := fleet.found()
	run.Phases = append(run.Phases, founded)
	if err != nil {
		return run, err
	}
	if founded.Upset {
		fleet.tell("upset: %s", strings.Join(founded.Notes, "; "))
		return run, nil
	}
	run.Phases = append(run.Phases, fleet.leftAlone()...)
	if options.Faults.any() {
		run.Phases = append(run.Phases, fleet.faults()...)
		return run, nil
	}
	for _, name := range options.Phases {
		run.Phases = append(run.Phases, fleet.perform(name, run.Phases[len(run.Phases)-1]))
	}
	return run, nil
}

// prepared checks the options, fills in what they leave open, and gives a run that tells of them.
func prepared(options *Options) (Run, error) {
	run := Run{Daemons: options.Daemons, Runners: options.Runners, Listed: options.Listed, Cores: options.Cores, Routes: options.Routes, Backends: options.Backends, Seed: options.Seed}
	for _, name := range options.Phases {
		if _, found := phases[name]; !found {
			return run, apierror.New(apierror.BadSettings, "there is no phase %q; give some of %s", name, strings.Join(PhaseNames(), ", "))
		}
	}
	if err := options.Faults.check(); err != nil {
		return run, err
	}
	if options.Faults.any() {
		run.ChangeEvery = options.Faults.Every.Seconds()
	}
	if options.Slow <= 0 {
		options.Slow = max(1, float64(options.Daemons)/float64(perPace*max(1, options.Processors)))
	}
	run.Slow = options.Slow
	return run, nil
}

// leftAlone measures a fleet to which nothing is done: at its pace and, where no faults follow, at half of it.
func (fleet *fleet) leftAlone() []Phase {
	slow := fleet.options.Slow
	// With slow clocks the same time holds less of the daemons' own, and what comes once a second would be missed.
	length := max(fleet.options.Quiet, time.Duration(leastQuiet*slow*float64(time.Second)))
	// What the founding left on its way is no part of a quiet fleet.
	pause(min(length, settling))
	quiet := fleet.watch("quiet", func(*Phase) { pause(length) })
	quiet.Figures["daemon.heap"] = float64(fleet.order(Order{Verb: "settle"}).Heap) / float64(max(1, fleet.options.Daemons))
	if fleet.options.Faults.any() {
		return []Phase{quiet}
	}
	fleet.setPace(2 * slow)
	halved := fleet.watch("halved", func(*Phase) { pause(length) })
	fleet.setPace(slow)
	quiet.speedUp(halved, slow)
	return []Phase{halved, quiet}
}

// perform runs a phase, or tells why it was left out.
func (fleet *fleet) perform(name string, previous Phase) Phase {
	made := phases[name]
	if fleet.exceeded || previous.Upset || time.Since(fleet.started) > fleet.options.Bound {
		return Phase{Name: name, Notes: []string{"not measured: the run was at its bound of time or memory, or upset"}}
	}
	if made.prompt && fleet.options.Slow > slowest {
		return Phase{Name: name, Notes: []string{"left out: the daemons' clocks are too slow for what the head expects of them"}}
	}
	return fleet.watch(name, func(phase *Phase) { made.run(fleet, phase) })
}

func pause(length time.Duration) {
	timer := time.NewTimer(length)
	<-timer.C
}

// watch runs a phase and notes what it cost.
func (fleet *fleet) watch(name string, do func(phase *Phase)) Phase {
	first := fleet.observe()
	done := Phase{Figures: map[string]float64{}}
	do(&done)
	phase := fleet.between(name, first, fleet.observe(), fleet.options.Daemons)
	phase.Notes = done.Notes
	phase.Upset = done.Upset
	maps.Copy(phase.Figures, done.Figures)
	if !phases[name].silent && name != "churn" && name != "rack" && name != "founding" {
		phase.judgeUpset()
	}
	fleet.tellPhase(phase)
	return phase
}

// judgeUpset marks an unharmed phase in which daemons asked other cores than the head: it was not heard in time.
func (phase *Phase) judgeUpset() {
	if phase.Figures["daemon.searches"] > upsetBound {
		phase.Upset = true
		phase.Notes = append(phase.Notes, "upset: daemons looked for another head although nothing was done to it")
	}
}

// paced are the cores' figures that grow with how often daemons ask.
var paced = []string{"processor", "sent", "received", "bytes_out", "bytes_in"}

// speedUp reckons what the cores' figures are with daemons at full speed, from what was seen at a pace
// and at half of it: a part that is the core's own, and a part for each question.
func (phase *Phase) speedUp(halved Phase, slow float64) {
	for _, role := range []string{"head", "middle", "tail"} {
		for _, name := range paced {
			key := role + "." + name
			seen, found := phase.Figures[key]
			less, also := halved.Figures[key]
			if !found || !also {
				continue
			}
			asked := 2 * slow * (seen - less)
			phase.Figures[key+".seen"], phase.Figures[key+".asked"], phase.Figures[key+".own"] = seen, asked, 2*less-seen
			phase.Figures[key] = max(seen, asked+2*less-seen)
		}
	}
}

// setPace lets all daemons' clocks run so many times slower than the machine's.
func (fleet *fleet) setPace(slow float64) {
	fleet.order(Order{Verb: "pace", Slow: slow})
	fleet.pace = slow
}

// serve waits until every daemon that is asked may award work.
func (fleet *fleet) serve(length time.Duration) (time.Duration, bool) {
	return fleet.await(length, "serving", func() (bool, string) {
		report := fleet.order(Order{Verb: "sample"})
		return report.Asked > 0 && report.Serving == report.Asked, fmt.Sprintf("%d of %d asked serve", report.Serving, report.Asked)
	})
}

// arrive notes how long after a moment half, 99 % and all of those up had an epoch.
func (fleet *fleet) arrive(phase *Phase, epoch uint64, sent time.Duration, expected int) {
	var moments []time.Duration
	// With slow clocks the daemons' own five seconds last longer, and the machine needs them.
	bound := time.Duration(5 * fleet.options.Slow * float64(time.Second))
	_, whole := fleet.await(bound, "a change arrives", func() (bool, string) {
		moments = fleet.order(Order{Verb: "sample"}).Arrivals[epoch]
		return len(moments) >= expected, fmt.Sprintf("%d of %d have it", len(moments), expected)
	})
	if !whole {
		phase.Notes = append(phase.Notes, fmt.Sprintf("%d of %d had epoch %d after %.0f s", len(moments), expected, epoch, bound.Seconds()))
	}
	if len(moments) == 0 {
		return
	}
	sort.Slice(moments, func(left, right int) bool { return moments[left] < moments[right] })
	for name, part := range map[string]float64{"half": 0.5, "most": 0.99, "all": 1} {
		at := moments[max(0, int(math.Ceil(part*float64(len(moments))))-1)]
		phase.Figures["arrival."+name] = max(phase.Figures["arrival."+name], (at - sent).Seconds())
	}
}

// acknowledge makes one change and notes how long its answer took; it tells whether it was accepted.
func (fleet *fleet) acknowledge(phase *Phase) bool {
	reply, took, err := fleet.change()
	if err != nil || reply.Outcome != "accepted" {
		phase.Notes = append(phase.Notes, fmt.Sprintf("a change ended as %s after %.1f s: %s %v", reply.Outcome, took.Seconds(), reply.Detail, err))
		phase.Figures["change.unsure"]++
		fleet.refresh()
		return false
	}
	phase.Figures["acknowledged.most"] = max(phase.Figures["acknowledged.most"], took.Seconds())
	phase.Figures["acknowledged.sum"] += took.Seconds()
	phase.Figures["acknowledged.count"]++
	return true
}

// refresh reads the newest epoch after a change of unknown outcome.
func (fleet *fleet) refresh() {
	if reply, err := fleet.client.Get(); err == nil && reply.Outcome == "found" {
		fleet.epoch = max(fleet.epoch, reply.Epoch)
	}
}

func (fleet *fleet) phaseChange(phase *Phase) {
	changes := 4
	if fleet.options.Slow > slowest {
		changes = 2
	}
	for range changes {
		sent := monotonic()
		if fleet.acknowledge(phase) {
			fleet.arrive(phase, fleet.epoch, sent, fleet.options.Daemons)
		}
		pause(500 * time.Millisecond)
	}
}

func (fleet *fleet) phaseStorm(phase *Phase) {
	const operators, length = 4, 5 * time.Second
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	started := time.Now()
	for number := range operators {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			client := operator.New([]string{fleet.cores[number%len(fleet.cores)].place.HTTP})
			for attempt := 0; time.Since(started) < length; attempt++ {
				present, err := client.Get()
				if err != nil {
					continue
				}
				sent := time.Now()
				reply, err := client.Apply(fleetSpec(fleet.options.Routes, fleet.options.Backends, 1000*number+attempt),
					operator.Change{Base: present.Epoch, Operation: fmt.Sprintf("storm-%d-%d-%d", fleet.options.Seed, number, attempt)})
				took := time.Since(sent)
				mutex.Lock()
				if err != nil {
					reply.Outcome = "unanswered"
				}
				phase.Figures["storm."+reply.Outcome]++
				if reply.Outcome == "accepted" {
					phase.Figures["acknowledged.most"] = max(phase.Figures["acknowledged.most"], took.Seconds())
					phase.Figures["acknowledged.sum"] += took.Seconds()
					phase.Figures["acknowledged.count"]++
				}
				mutex.Unlock()
			}
		}()
	}
	waiting.Wait()
	phase.Figures["accepted.per_second"] = phase.Figures["storm.accepted"] / time.Since(started).Seconds()
	fleet.refresh()
	took, _ := fleet.serve(10 * time.Second)
	phase.Figures["recovered.seconds"] = took.Seconds()
}

// addresses gives those of the daemons that a function takes, at most so many.
func (fleet *fleet) addresses(most int, takes func(place Place) bool) []string {
	var found []string
	for number := range fleet.options.Daemons {
		place := daemonPlace(fleet.options.Network, number, len(fleet.hosts))
		if len(found) < most && takes(place) {
			found = append(found, place.Address)
		}
	}
	return found
}

func (fleet *fleet) phaseChurn(phase *Phase) {
	victims := fleet.addresses(max(1, fleet.options.Daemons/100), func(Place) bool { return true })
	fleet.order(Order{Verb: "end", Addresses: victims})
	phase.Figures["restarted"] = float64(len(victims))
	fleet.acknowledge(phase)
	fleet.order(Order{Verb: "begin", Addresses: victims})
	took, _ := fleet.serve(10 * time.Second)
	phase.Figures["restart.seconds"] = took.Seconds()
	before := len(fleet.leader().Core.Daemons)
	var comers []string
	for number := range spares {
		comers = append(comers, daemonPlace(fleet.options.Network, fleet.options.Daemons+number, len(fleet.hosts)).Address)
	}
	fleet.order(Order{Verb: "begin", Addresses: comers})
	took, whole := fleet.await(20*time.Second, "newcomers", func() (bool, string) {
		now := len(fleet.leader().Core.Daemons)
		return now >= before+len(comers), fmt.Sprintf("%d of %d in the directory", now-before, len(comers))
	})
	phase.Figures["newcomer.seconds"] = took.Seconds() / float64(len(comers))
	if !whole {
		phase.Notes = append(phase.Notes, "newcomers were not let in within 20 s")
	}
	fleet.order(Order{Verb: "end", Addresses: comers})
}

// lose takes daemons away, makes a change meanwhile, and brings them back.
func (fleet *fleet) lose(phase *Phase, victims []string, lost *coreProcess) {
	phase.Figures["lost"] = float64(len(victims))
	fleet.order(Order{Verb: "end", Addresses: victims})
	if lost != nil {
		lost.kill()
	}
	fleet.acknowledge(phase)
	pause(2 * time.Second)
	if lost != nil {
		if err := fleet.startCore(lost); err != nil {
			phase.Notes = append(phase.Notes, err.Error())
		}
	}
	fleet.order(Order{Verb: "begin", Addresses: victims})
	took, whole := fleet.serve(15 * time.Second)
	phase.Figures["recovered.seconds"] = took.Seconds()
	if !whole {
		phase.Notes = append(phase.Notes, "not all served again within 15 s")
	}
	took, whole = fleet.await(10*time.Second, "the chain is whole again", func() (bool, string) {
		leader := fleet.leader()
		return leader.Core.Leading && len(leader.Core.Chain) == min(5, len(fleet.cores)), fmt.Sprintf("%d in the chain", len(leader.Core.Chain))
	})
	phase.Figures["chain.seconds"] = took.Seconds()
	if !whole {
		phase.Notes = append(phase.Notes, "the chain was not whole again within 10 s")
	}
}

// rackSize is how many machines stand in a rack.
const rackSize = 40

func (fleet *fleet) phaseRack(phase *Phase) {
	zone := Zones()[0].Name
	fleet.lose(phase, fleet.addresses(min(rackSize, max(1, fleet.options.Daemons/15)), func(place Place) bool { return place.Zone == zone }), nil)
}

func (fleet *fleet) phaseZone(phase *Phase) {
	// The head's own zone is another phase; here one of the others goes.
	lost := fleet.member("tail")
	if lost == nil {
		phase.Notes = append(phase.Notes, "no tail was found")
		return
	}
	fleet.lose(phase, fleet.addresses(fleet.options.Daemons, func(place Place) bool { return place.Zone == lost.place.Zone }), lost)
}

func (fleet *fleet) phaseHead(phase *Phase) {
	lost := fleet.member("head")
	if lost == nil {
		phase.Notes = append(phase.Notes, "no head was found")
		return
	}
	fleet.lose(phase, nil, lost)
}

// cutLength is how long regions stay apart in a run; what is asked meanwhile does not change with time.
const cutLength = 6 * time.Second

func (fleet *fleet) phaseCut(phase *Phase) {
	lesser := fleet.lesserRegions()
	whole := fleet.client
	fleet.client = operator.New(fleet.coresOutside(lesser))
	defer func() { fleet.client = whole }()
	fleet.part(lesser)
	sides := map[string][]string{
		"lesser":  fleet.addresses(fleet.options.Daemons, func(place Place) bool { return lesser[place.Region] }),
		"greater": fleet.addresses(fleet.options.Daemons, func(place Place) bool { return !lesser[place.Region] })}
	phase.Figures["lesser.part"] = float64(len(sides["lesser"])) / float64(fleet.options.Daemons)
	pause(cutLength - 3*time.Second)
	fleet.acknowledge(phase)
	pause(2 * time.Second)
	for name, side := range sides {
		if report := fleet.order(Order{Verb: "sample", Addresses: side}); len(side) > 0 && report.Asked > 0 {
			phase.Figures[name+".serving"] = float64(report.Serving) / float64(report.Asked)
		}
	}
	fleet.order(Order{Verb: "cut"})
	for _, process := range fleet.cores {
		process.signal(syscall.SIGCONT)
	}
	took, served := fleet.serve(15 * time.Second)
	phase.Figures["recovered.seconds"] = took.Seconds()
	if !served {
		phase.Notes = append(phase.Notes, "not all served again within 15 s")
	}
}

// lesserRegions chooses half of the regions such that most acceptors are in the others: those keep the chain, and the
// cores of the lesser part can neither agree nor claim anything.
func (fleet *fleet) lesserRegions() map[int]bool {
	greater, lesser := map[int]bool{}, map[int]bool{}
	for _, acceptor := range fleet.leader().Core.Acceptors {
		for _, process := range fleet.cores {
			if process.place.Address == acceptor.Address && len(greater) < 2 {
				greater[process.place.Region] = true
			}
		}
	}
	for region := len(regionZones) - 1; region >= 0 && len(lesser) < len(regionZones)/2; region-- {
		if !greater[region] {
			lesser[region] = true
		}
	}
	return lesser
}

// coresOutside gives where the cores outside of some regions answer operators.
func (fleet *fleet) coresOutside(regions map[int]bool) []string {
	var outside []string
	for _, process := range fleet.cores {
		if !regions[process.place.Region] {
			outside = append(outside, process.place.HTTP)
		}
	}
	return outside
}

// part cuts some regions off: their daemons' frames to and from the others are dropped, their cores are frozen.
func (fleet *fleet) part(regions map[int]bool) {
	for _, process := range fleet.cores {
		if regions[process.place.Region] {
			process.signal(syscall.SIGSTOP)
		}
	}
	fleet.order(Order{Verb: "cut", Regions: slices.Sorted(maps.Keys(regions))})
}
