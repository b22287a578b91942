package scale

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"wardtray/apierror"
	"wardtray/wire"
)

// Flow is one kind of message on one way over one border.
type Flow struct {
	Kind, Way, Border string
}

// Count is how much of a flow there was.
type Count struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// Spent is the processor time of one kind of step, frames encoded and decoded included.
type Spent struct {
	Steps uint64        `json:"steps"`
	Time  time.Duration `json:"time"`
}

// FlowLine is a flow with its count, as it travels.
type FlowLine struct {
	Flow
	Count
}

// Plan is what a host is told at its start.
type Plan struct {
	Network    int     `json:"network"`
	Host       int     `json:"host"`
	Hosts      int     `json:"hosts"`
	Daemons    int     `json:"daemons"`
	Spare      int     `json:"spare"`
	Cores      []Place `json:"cores"`
	Runners    int     `json:"runners"`
	Listed     bool    `json:"listed"`
	Workers    int     `json:"workers"`
	Witnesses  int     `json:"witnesses"`
	Seed       int64   `json:"seed"`
	Processors int     `json:"processors"`
	Memory     int64   `json:"memory"`
	// Slow is how many times slower than the machine's the daemons' clocks run; 1 or more.
	Slow float64 `json:"slow"`
}

// Order is what a host is asked to do; Verb is one of verbs.
type Order struct {
	Verb string `json:"verb"`
	// Addresses name daemons; empty stands for all that are not spare.
	Addresses []string `json:"addresses,omitempty"`
	// Regions are those on one side of a cut.
	Regions []int `json:"regions,omitempty"`
	// Slow is how many times slower than the machine's the daemons' clocks shall run.
	Slow float64 `json:"slow,omitempty"`
}

// Report is what a host says of itself; counts run from its start.
type Report struct {
	Failure string `json:"failure,omitempty"`
	Up      int    `json:"up"`
	Serving int    `json:"serving"`
	Asked   int    `json:"asked"`
	// Least and Most are how many runners a daemon knows, of those asked.
	Least   int              `json:"least"`
	Most    int              `json:"most"`
	Flows   []FlowLine       `json:"flows,omitempty"`
	Spent   map[string]Spent `json:"spent,omitempty"`
	Late    lateness         `json:"late"`
	Dropped uint64           `json:"dropped"`
	// Searches are questions for a lease to other cores than the head.
	Searches uint64                     `json:"searches"`
	Used     time.Duration              `json:"used"`
	Heap     uint64                     `json:"heap"`
	Resident uint64                     `json:"resident"`
	Arrivals map[uint64][]time.Duration `json:"arrivals,omitempty"`
	// Leases are the times without a lease of the daemons that are watched.
	Leases []LeaseHistory `json:"leases,omitempty"`
}

// lateness is a coarse histogram of how late ticks came: below 1, 2, 4 ... milliseconds.
type lateness struct {
	Buckets [16]uint64 `json:"buckets"`
}

func (late *lateness) add(length time.Duration) {
	place := 0
	for bound := time.Millisecond; length >= bound && place < len(late.Buckets)-1; bound *= 2 {
		place++
	}
	late.Buckets[place]++
}

// share gives the bound below which so large a part of the ticks came.
func (late lateness) share(part float64) time.Duration {
	total, seen := uint64(0), uint64(0)
	for _, count := range late.Buckets {
		total += count
	}
	for place, count := range late.Buckets {
		seen += count
		if total > 0 && float64(seen) >= part*float64(total) {
			return time.Millisecond << place
		}
	}
	return 0
}

// host is one process's share of the hollow daemons.
type host struct {
	plan     Plan
	workers  []*worker
	daemons  map[string]*daemon
	places   map[string]*Place
	seeds    []string
	runners  []*wire.Runner
	stopped  chan struct{}
	listener net.Listener
	links    []*link
	side     atomic.Pointer[map[int]bool]
	clock    atomic.Pointer[pace]
	// documented tells that a daemon has taken a document in.
	documented atomic.Bool
}

// pace is how the daemons' time follows the machine's from a moment on.
type pace struct {
	since, from time.Time
	slow        float64
}

// now is the daemons' own time. A slow one lets a machine carry more of them than it could at full
// speed; all that a daemon does is then told for a second of its own.
func (host *host) now() time.Time {
	clock := host.clock.Load()
	return clock.from.Add(time.Duration(float64(time.Since(clock.since)) / clock.slow))
}

// setPace lets the daemons' time go on so many times slower than the machine's.
func (host *host) setPace(slow float64) {
	previous := host.clock.Load()
	if previous.slow != slow {
		host.clock.CompareAndSwap(previous, &pace{since: time.Now(), from: host.now(), slow: slow})
	}
}

func newHost(plan Plan) (*host, error) {
	if plan.Processors > 0 {
		runtime.GOMAXPROCS(plan.Processors)
	}
	if plan.Memory > 0 {
		debug.SetMemoryLimit(plan.Memory)
	}
	plan.Slow = max(1, plan.Slow)
	host := &host{plan: plan, daemons: map[string]*daemon{}, places: map[string]*Place{}, stopped: make(chan struct{})}
	host.clock.Store(&pace{since: time.Now(), from: time.Now(), slow: plan.Slow})
	for place := range plan.Cores {
		core := &plan.Cores[place]
		host.places[core.Address] = core
		if len(host.seeds) < 3 {
			host.seeds = append(host.seeds, core.Address)
		}
	}
	for number := range plan.Workers {
		host.workers = append(host.workers, newWorker(host, plan.Seed*1000+int64(plan.Host*100+number)))
	}
	own := 0
	for number := range plan.Daemons + plan.Spare {
		place := daemonPlace(plan.Network, number, plan.Hosts)
		host.places[place.Address] = &place
		if place.Host != plan.Host {
			continue
		}
		worker := host.workers[own%len(host.workers)]
		made := &daemon{place: &place, worker: worker, witness: own < plan.Witnesses, watched: len(worker.daemons) < watchedDaemons}
		worker.daemons = append(worker.daemons, made)
		host.daemons[place.Address] = made
		own++
	}
	for number := range plan.Runners {
		if !plan.Listed {
			break
		}
		zone := Zones()[number%len(Zones())]
		host.runners = append(host.runners, &wire.Runner{RunnerId: fmt.Sprintf("runner-%05d-%08x", number, number*2654435761), State: "ready", Zone: zone.Name,
			Address: fmt.Sprintf("10.%d.%d.%d:9100", number>>16, number>>8&255, number&255), Service: fmt.Sprintf("runners-%02d", number%36)})
	}
	if plan.Hosts > 1 {
		if err := host.join(); err != nil {
			return nil, err
		}
	}
	for _, worker := range host.workers {
		go worker.run()
	}
	return host, nil
}

func (host *host) close() {
	for _, worker := range host.workers {
		worker.call(func() {
			for _, daemon := range worker.daemons {
				worker.end(daemon)
			}
		})
	}
	close(host.stopped)
	if host.listener != nil {
		_ = host.listener.Close()
	}
}

// deliver hands a frame to its daemon here or in another host.
func (host *host) deliver(target *Place, content []byte) {
	if target.Host != host.plan.Host {
		host.links[target.Host].put(target.Address, content)
		return
	}
	if found := host.daemons[target.Address]; found != nil {
		found.worker.put(item{daemon: found, frame: content})
	}
}

// cut tells whether two places can't reach each other now.
func (host *host) cut(from, to *Place) bool {
	side := host.side.Load()
	return side != nil && (*side)[from.Region] != (*side)[to.Region]
}

// poll answers a controller that wants to read the platform's list.
func (host *host) poll(now time.Time, daemon *daemon) {
	daemon.machine.Polled(now, host.runners, len(host.runners) == 0)
}

// verbs are what a host can be asked to do.
var verbs = map[string]func(host *host, order Order) Report{
	"begin": func(host *host, order Order) Report { return host.each(order, (*worker).begin) },
	"end":   func(host *host, order Order) Report { return host.each(order, (*worker).quietEnd) },
	"dark":  func(host *host, order Order) Report { return host.each(order, (*worker).darken) },
	// Times without a lease are told from the latest "watch" on.
	"watch":  func(host *host, order Order) Report { return host.each(order, (*worker).watchLease) },
	"leases": (*host).orderLeases,
	"count":  (*host).orderCount,
	"cut":    (*host).orderCut,
	"pace": func(host *host, order Order) Report {
		// Once there is a document, full speed is more than the machine can carry.
		if order.Slow >= host.plan.Slow || !host.documented.Load() {
			host.setPace(order.Slow)
		}
		return Report{}
	},
	"report": func(host *host, order Order) Report { return host.report(order, false) },
	"sample": func(host *host, order Order) Report { return host.report(order, true) },
	"settle": func(host *host, order Order) Report {
		runtime.GC()
		return host.report(order, false)
	},
}

// orderLeases reports the times without a lease of the watched daemons that live.
func (host *host) orderLeases(Order) Report {
	report := Report{}
	for _, worker := range host.workers {
		worker.call(func() {
			for _, daemon := range worker.daemons {
				if daemon.watched && daemon.up {
					report.Leases = append(report.Leases, daemon.lease.history(monotonic()))
				}
			}
		})
	}
	return report
}

// orderCount reports only what was sent, which costs the daemons nothing.
func (host *host) orderCount(Order) Report {
	report := Report{}
	for _, worker := range host.workers {
		worker.call(func() {
			for flow, count := range worker.flows {
				report.Flows = append(report.Flows, FlowLine{Flow: flow, Count: *count})
			}
		})
	}
	return report
}

func (worker *worker) quietEnd(daemon *daemon) error {
	worker.end(daemon)
	return nil
}

func (host *host) do(order Order) Report {
	verb := verbs[order.Verb]
	if verb == nil {
		return Report{Failure: "there is no verb " + order.Verb}
	}
	return verb(host, order)
}

func (host *host) orderCut(order Order) Report {
	if len(order.Regions) == 0 {
		host.side.Store(nil)
		return Report{}
	}
	side := map[int]bool{}
	for _, region := range order.Regions {
		side[region] = true
	}
	host.side.Store(&side)
	return Report{}
}

// named gives the daemons that an order names, by worker.
func (host *host) named(order Order) map[*worker][]*daemon {
	named := map[*worker][]*daemon{}
	if len(order.Addresses) == 0 {
		for number := range host.plan.Daemons {
			place := daemonPlace(host.plan.Network, number, host.plan.Hosts)
			if found := host.daemons[place.Address]; found != nil {
				named[found.worker] = append(named[found.worker], found)
			}
		}
		return named
	}
	for _, address := range order.Addresses {
		if found := host.daemons[address]; found != nil {
			named[found.worker] = append(named[found.worker], found)
		}
	}
	return named
}

func (host *host) each(order Order, do func(worker *worker, daemon *daemon) error) Report {
	report := Report{}
	for worker, daemons := range host.named(order) {
		worker.call(func() {
			for _, daemon := range daemons {
				if err := do(worker, daemon); err != nil {
					report.Failure = err.Error()
				}
			}
		})
	}
	return report
}

// sampled bounds how many daemons of a worker are asked whether they serve: the answer walks the directory.
// Those that are dark are passed over.
const sampled = 32

// report gathers the counts; a sample only asks some daemons whether they serve.
func (host *host) report(order Order, sample bool) Report {
	report := Report{Spent: map[string]Spent{}, Arrivals: map[uint64][]time.Duration{}}
	flows := map[Flow]Count{}
	named := host.named(order)
	for _, worker := range host.workers {
		worker.call(func() {
			worker.reportServing(&report, named[worker])
			if !sample {
				worker.reportCounts(&report, flows)
			}
		})
		report.Dropped += worker.dropped.Load()
	}
	for flow, count := range flows {
		report.Flows = append(report.Flows, FlowLine{Flow: flow, Count: count})
	}
	var memory runtime.MemStats
	if !sample {
		runtime.ReadMemStats(&memory)
	}
	report.Used, report.Heap = processTime(), memory.HeapAlloc
	return report
}

// reportServing adds which of the worker's daemons run, and asks some of those named whether they serve.
func (worker *worker) reportServing(report *Report, named []*daemon) {
	for _, daemon := range worker.daemons {
		if daemon.up {
			report.Up++
		}
	}
	step := max(1, len(named)/sampled)
	for place := 0; place < len(named); place += step {
		worker.ask(report, named[place])
	}
	for epoch, moments := range worker.arrivals {
		report.Arrivals[epoch] = append(report.Arrivals[epoch], moments...)
	}
}

// ask adds whether one daemon serves, and how many runners it knows.
func (worker *worker) ask(report *Report, daemon *daemon) {
	if daemon.dark {
		return
	}
	if !daemon.up {
		report.Asked++
		report.Least = 0
		return
	}
	now := worker.host.now()
	snapshot := daemon.machine.Snapshot(now)
	if known := len(snapshot.Runners); report.Asked == 0 || known < report.Least {
		report.Least = known
	}
	report.Asked++
	report.Most = max(report.Most, len(snapshot.Runners))
	if snapshot.Until.After(now) {
		report.Serving++
	}
}

// reportCounts adds what the worker's daemons sent and used.
func (worker *worker) reportCounts(report *Report, flows map[Flow]Count) {
	for flow, count := range worker.flows {
		sum := flows[flow]
		sum.Messages += count.Messages
		sum.Bytes += count.Bytes
		flows[flow] = sum
	}
	for kind, spent := range worker.spent {
		sum := report.Spent[kind]
		sum.Steps += spent.Steps
		sum.Time += spent.Time
		report.Spent[kind] = sum
	}
	report.Searches += worker.searches
	for place, count := range worker.late.Buckets {
		report.Late.Buckets[place] += count
	}
}

// link carries frames to another host over one connection.
type link struct {
	address string
	frames  chan []byte
}

const linkQueue = 1 << 14

// join opens this host's end of the links between hosts.
func (host *host) join() error {
	listener, err := net.Listen("tcp", linkAddress(host.plan.Network, host.plan.Host))
	if err != nil {
		return apierror.Wrap(err, apierror.BadSettings, "listening for other hosts")
	}
	host.listener = listener
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go host.readLink(connection)
		}
	}()
	for number := range host.plan.Hosts {
		made := &link{address: linkAddress(host.plan.Network, number), frames: make(chan []byte, linkQueue)}
		host.links = append(host.links, made)
		if number != host.plan.Host {
			go host.writeLink(made)
		}
	}
	return nil
}

// put queues a frame behind the name of its daemon; a full queue drops it.
func (link *link) put(address string, content []byte) {
	named := make([]byte, 0, 1+len(address)+len(content))
	named = append(append(append(named, byte(len(address))), address...), content...)
	select {
	case link.frames <- named:
	default:
	}
}

func (host *host) writeLink(link *link) {
	var connection net.Conn
	var writer *bufio.Writer
	for {
		select {
		case <-host.stopped:
			return
		case content := <-link.frames:
			if connection == nil {
				if connection = host.dial(link); connection == nil {
					return
				}
				writer = bufio.NewWriterSize(connection, 256<<10)
			}
			_, err := writer.Write(content)
			if err == nil && len(link.frames) == 0 {
				err = writer.Flush()
			}
			if err != nil {
				_ = connection.Close()
				connection = nil
			}
		}
	}
}

// dial tries until the other host listens; it gives nil once this one ends.
func (host *host) dial(link *link) net.Conn {
	for {
		if made, err := net.Dial("tcp", link.address); err == nil {
			return made
		}
		select {
		case <-host.stopped:
			return nil
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (host *host) readLink(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, 256<<10)
	for {
		length, err := reader.ReadByte()
		if err != nil {
			return
		}
		name := make([]byte, length)
		if _, err := io.ReadFull(reader, name); err != nil {
			return
		}
		head, err := reader.Peek(frameHead)
		if err != nil {
			return
		}
		content := make([]byte, frameHead+binary.BigEndian.Uint32(head[4:]))
		if _, err := io.ReadFull(reader, content); err != nil {
			return
		}
		if found := host.daemons[string(name)]; found != nil {
			found.worker.put(item{daemon: found, frame: content})
		}
	}
}
