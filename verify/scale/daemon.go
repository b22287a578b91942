package scale

import (
	"bufio"
	"bytes"
	"math/rand"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/statemachine"
	"wardtray/dataplane"
	"wardtray/dataplane/controller"
	"wardtray/transport"
	"wardtray/transport/frame"
	"wardtray/wire"
)

const (
	// queueBound is how many messages wait for one daemon at most, as in the transport's queue.
	queueBound = 512
	turnEvery  = 5 * time.Millisecond
	frameHead  = 8
)

// daemon is a hollow one: a real controller with a real transport towards the cores.
type daemon struct {
	place       *Place
	worker      *worker
	machine     *controller.Controller
	wire        *transport.Transport
	up          bool
	incarnation int
	due         time.Time
	queued      int
	// documents and epoch are what this life has taken in.
	documents uint64
	epoch     uint64
	// witness daemons also pay for the snapshot that the request path takes after each step.
	witness bool
	// dark tells that the machine lost its power: nothing is sent or answered, and no connection is closed.
	dark bool
	// watched daemons note for how long they had no lease.
	watched bool
	lease   leaseWatch
}

// item is one piece of a worker's work: a frame or an envelope for a daemon, or something to do.
type item struct {
	daemon *daemon
	// incarnation is that of the connection that an envelope came by.
	incarnation int
	frame       []byte
	envelope    *wire.Envelope
	do          func()
}

// worker owns some daemons and runs all their steps on one thread, so that none needs a lock.
type worker struct {
	host    *host
	daemons []*daemon
	mutex   sync.Mutex
	queue   []item
	// orders go before the queue, so that a host can be asked and ended however much waits there.
	orders []func()
	wake   chan struct{}
	random *rand.Rand
	bytes  bytes.Reader
	reader *bufio.Reader

	flows   map[Flow]*Count
	spent   map[string]*Spent
	late    *lateness
	dropped atomic.Uint64
	// searches counts the questions for a lease that went to other cores than the head.
	searches uint64
	arrivals map[uint64][]time.Duration
}

func newWorker(host *host, seed int64) *worker {
	worker := &worker{host: host, wake: make(chan struct{}, 1), random: rand.New(rand.NewSource(seed)), reader: bufio.NewReaderSize(nil, 4<<10),
		flows: map[Flow]*Count{}, spent: map[string]*Spent{}, late: &lateness{}, arrivals: map[uint64][]time.Duration{}}
	return worker
}

// put hands something to the worker; what a daemon can't take in any more is dropped.
func (worker *worker) put(work item) {
	worker.mutex.Lock()
	if work.daemon != nil {
		if work.daemon.queued >= queueBound {
			worker.dropped.Add(1)
			worker.mutex.Unlock()
			return
		}
		work.daemon.queued++
	}
	worker.queue = append(worker.queue, work)
	worker.mutex.Unlock()
	select {
	case worker.wake <- struct{}{}:
	default:
	}
}

// call runs something on the worker's thread and waits for its end.
func (worker *worker) call(do func()) {
	done := make(chan struct{})
	worker.mutex.Lock()
	worker.orders = append(worker.orders, func() {
		defer close(done)
		do()
	})
	worker.mutex.Unlock()
	<-done
}

// obey carries out the orders that wait.
func (worker *worker) obey() {
	worker.mutex.Lock()
	orders := worker.orders
	worker.orders = nil
	worker.mutex.Unlock()
	for _, order := range orders {
		order()
	}
}

func (worker *worker) run() {
	runtime.LockOSThread()
	ticker := time.NewTicker(turnEvery)
	defer ticker.Stop()
	var batch []item
	for {
		select {
		case <-worker.wake:
		case <-ticker.C:
		case <-worker.host.stopped:
			return
		}
		worker.mutex.Lock()
		batch, worker.queue = worker.queue, batch[:0]
		for _, work := range batch {
			if work.daemon != nil {
				work.daemon.queued--
			}
		}
		worker.mutex.Unlock()
		for place, work := range batch {
			worker.take(work)
			batch[place] = item{}
			// A long batch must not keep the ticks waiting, which a process of its own would not do either.
			if place%64 == 63 {
				worker.ticks()
			}
		}
		worker.ticks()
		worker.obey()
	}
}

func (worker *worker) take(work item) {
	if work.do != nil {
		work.do()
		return
	}
	if !work.daemon.up || work.envelope != nil && work.daemon.incarnation != work.incarnation {
		return
	}
	started := threadTime()
	envelope := work.envelope
	if envelope == nil {
		worker.bytes.Reset(work.frame)
		worker.reader.Reset(&worker.bytes)
		decoded, _, err := frame.Decode(worker.reader)
		if err != nil {
			worker.dropped.Add(1)
			return
		}
		envelope = decoded
	}
	worker.step(work.daemon, kindOf(envelope), started, func(now time.Time) { work.daemon.machine.Receive(now, envelope) })
}

// ticks lets every daemon whose time has come do what is due.
func (worker *worker) ticks() {
	now := worker.host.now()
	for _, daemon := range worker.daemons {
		if !daemon.up || now.Before(daemon.due) {
			continue
		}
		worker.obey()
		if !daemon.up {
			continue
		}
		worker.late.add(time.Duration(float64(now.Sub(daemon.due)) * worker.host.clock.Load().slow))
		// A ticker that is behind leaves rounds out; it does not make up for them.
		for !now.Before(daemon.due) {
			daemon.due = daemon.due.Add(dataplane.TickEvery)
		}
		worker.step(daemon, "tick", threadTime(), daemon.machine.Tick)
		now = worker.host.now()
		if daemon.watched {
			daemon.lease.note(worker.remaining(daemon, now), monotonic())
		}
	}
}

// step runs one step of a daemon, carries out what it asks for and books the processor time.
func (worker *worker) step(daemon *daemon, kind string, started time.Duration, do func(now time.Time)) {
	now := worker.host.now()
	do(now)
	worker.send(daemon, daemon.machine.Drain())
	if daemon.machine.WantsPoll() {
		worker.host.poll(now, daemon)
		worker.send(daemon, daemon.machine.Drain())
	}
	finished := threadTime()
	worker.book(kind, finished-started)
	if documents := daemon.machine.Counters().Documents; documents != daemon.documents {
		daemon.documents = documents
		// From the first document on, a machine that carries thousands has more to do than at full speed it could.
		if !worker.host.documented.Swap(true) {
			worker.host.setPace(worker.host.plan.Slow)
		}
		if epoch := daemon.machine.Snapshot(now).SpecEpoch; epoch != daemon.epoch {
			daemon.epoch = epoch
			worker.arrivals[epoch] = append(worker.arrivals[epoch], monotonic())
		}
	}
	if daemon.witness {
		started = threadTime()
		daemon.machine.Snapshot(now)
		worker.book("snapshot", threadTime()-started)
	}
}

func (worker *worker) book(kind string, length time.Duration) {
	spent := worker.spent[kind]
	if spent == nil {
		spent = &Spent{}
		worker.spent[kind] = spent
	}
	spent.Steps++
	spent.Time += length
}

func (worker *worker) count(kind, way string, border int, size int) {
	flow := Flow{Kind: kind, Way: way, Border: borders[border]}
	count := worker.flows[flow]
	if count == nil {
		count = &Count{}
		worker.flows[flow] = count
	}
	count.Messages++
	count.Bytes += uint64(size)
}

func (worker *worker) send(daemon *daemon, parcels []statemachine.Message) {
	var toCores []statemachine.Message
	for _, parcel := range parcels {
		target := worker.host.places[parcel.To]
		if target == nil || worker.host.cut(daemon.place, target) {
			continue
		}
		kind := kindOf(parcel.Envelope)
		if target.Core {
			worker.count(kind, "to cores", border(daemon.place, target), frameHead+proto.Size(parcel.Envelope))
			if parcel.Envelope.GetDaemonLeaseRequest() != nil && !isHead(daemon.machine.View(), parcel.To) {
				worker.searches++
			}
			toCores = append(toCores, parcel)
			continue
		}
		content, err := frame.Encode(parcel.Envelope)
		if err != nil {
			worker.dropped.Add(1)
			continue
		}
		worker.count(kind, "to daemons", border(daemon.place, target), len(content))
		worker.host.deliver(target, content)
	}
	if len(toCores) > 0 {
		daemon.wire.Send(toCores)
	}
}

// isHead tells whether an address is that of the head of a view.
func isHead(view *wire.View, address string) bool {
	return len(view.Chain) > 0 && view.Chain[0].Address == address
}

// fromCore takes what a core sent to a daemon; it runs on the transport's own goroutine.
func (worker *worker) fromCore(daemon *daemon, incarnation int, envelope *wire.Envelope) {
	worker.put(item{do: func() {
		if sender := worker.host.places[envelope.From]; sender != nil {
			if worker.host.cut(daemon.place, sender) {
				return
			}
			worker.count(kindOf(envelope), "from cores", border(daemon.place, sender), frameHead+proto.Size(envelope))
		}
		worker.take(item{daemon: daemon, incarnation: incarnation, envelope: envelope})
	}})
}

// begin starts a daemon with an empty memory.
func (worker *worker) begin(daemon *daemon) error {
	if daemon.up {
		return nil
	}
	if daemon.dark {
		daemon.wire.Close()
	}
	now := worker.host.now()
	daemon.up, daemon.dark, daemon.documents, daemon.epoch, daemon.lease = true, false, 0, 0, newLeaseWatch(monotonic())
	daemon.incarnation++
	incarnation := daemon.incarnation
	daemon.due = now.Add(time.Duration(worker.random.Int63n(int64(dataplane.TickEvery))))
	daemon.machine = controller.New(now, controller.Settings{Address: daemon.place.Address, HTTP: daemon.place.Address, Zone: daemon.place.Zone, Seeds: worker.host.seeds, Registered: !worker.host.plan.Listed},
		rand.New(rand.NewSource(worker.random.Int63())))
	daemon.wire = transport.New(daemon.place.Address, daemon.place.Zone, func(envelope *wire.Envelope) { worker.fromCore(daemon, incarnation, envelope) },
		func(address string, tried time.Time) { worker.refused(daemon, incarnation, address, tried) })
	return daemon.wire.Listen()
}

// refused tells a daemon that nobody listened at an address; it runs on the transport's own goroutine.
func (worker *worker) refused(daemon *daemon, incarnation int, address string, tried time.Time) {
	worker.put(item{do: func() {
		if daemon.up && daemon.incarnation == incarnation {
			worker.step(daemon, "refused", threadTime(), func(now time.Time) { daemon.machine.Refused(now, address, tried) })
		}
	}})
}

// darken lets a daemon fall silent as a machine without power: its sockets stay as they are.
func (worker *worker) darken(daemon *daemon) error {
	if daemon.up {
		daemon.up, daemon.dark = false, true
		daemon.incarnation++
	}
	return nil
}

// watchLease begins to note the times without a lease anew.
func (worker *worker) watchLease(daemon *daemon) error {
	at := monotonic()
	daemon.lease = newLeaseWatch(at)
	if daemon.up {
		daemon.lease.note(worker.remaining(daemon, worker.host.now()), at)
	}
	return nil
}

// remaining gives for how long of the machine's time a daemon may still award work.
func (worker *worker) remaining(daemon *daemon, now time.Time) time.Duration {
	until := daemon.machine.Until(now)
	if !until.After(now) {
		return 0
	}
	return time.Duration(float64(until.Sub(now)) * worker.host.clock.Load().slow)
}

// end takes a daemon away without a word.
func (worker *worker) end(daemon *daemon) {
	if !daemon.up && !daemon.dark {
		return
	}
	daemon.up, daemon.dark = false, false
	daemon.incarnation++
	daemon.wire.Close()
	daemon.machine, daemon.wire = nil, nil
}

func kindOf(envelope *wire.Envelope) string {
	return strings.TrimPrefix(reflect.TypeOf(envelope.Body).Elem().Name(), "Envelope_")
}

var borders = [...]string{"zone", "region", "regions"}

// border tells which border a message crosses: none, that of its zone, or that of its region.
func border(from, to *Place) int {
	if from.Region != to.Region {
		return 2
	}
	if from.Zone != to.Zone {
		return 1
	}
	return 0
}
