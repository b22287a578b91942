package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/durability"
	"wardtray/control/storage"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	fleetStep = 10 * time.Millisecond
	// operatorRetryDelay is the time after which a test's operator retries an unanswered request through another member.
	operatorRetryDelay = 900 * time.Millisecond
)

var errDiskFull = errors.New("no space left")

// testDisk is an in-memory data directory that can be full or stalled.
type testDisk struct {
	files         map[string][]byte
	full, stalled bool
	// written is the number of bytes written, and peak the largest total size of the files, in bytes.
	written, peak int
}

func newTestDisk() *testDisk { return &testDisk{files: map[string][]byte{}} }

func (disk *testDisk) Read(name string) ([]byte, bool, error) {
	content, found := disk.files[name]
	return append([]byte{}, content...), found, nil
}

func (disk *testDisk) store(name string, content []byte) error {
	if disk.full {
		return errDiskFull
	}
	disk.files[name] = content
	held := 0
	for _, content := range disk.files {
		held += len(content)
	}
	disk.peak = max(disk.peak, held)
	return nil
}

func (disk *testDisk) Put(name string, content []byte) error {
	disk.written += len(content)
	return disk.store(name, append([]byte{}, content...))
}

func (disk *testDisk) Append(name string, content []byte) error {
	disk.written += len(content)
	return disk.store(name, append(append([]byte{}, disk.files[name]...), content...))
}

func (disk *testDisk) Rename(from, to string) error {
	if disk.full {
		return errDiskFull
	}
	disk.files[to] = disk.files[from]
	delete(disk.files, from)
	return nil
}

func (disk *testDisk) Truncate(name string, length int64) error {
	return disk.store(name, append([]byte{}, disk.files[name][:length]...))
}

func (disk *testDisk) SetAside(string) error {
	disk.files = map[string][]byte{}
	return nil
}

// testMember is one machine of a testFleet.
type testMember struct {
	address      string
	node         *Node
	disk         *testDisk
	store        *snapshot.Store
	writes       []statemachine.Write
	identity     string
	incarnations int
	founding     bool
}

func (member *testMember) up() bool { return member.node != nil }

// testFleet simulates several control machines with their disks and the messages between them. Unlike fleet it stores
// snapshots and logs as package storage does, and can lose messages.
type testFleet struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	members []*testMember
	seeds   []string
	// inFlight holds the messages that arrive in the next step.
	inFlight []statemachine.Message
	// isLost reports whether a message does not arrive; nil if all arrive.
	isLost func(message statemachine.Message) bool
	// acknowledged is the newest epoch that was acknowledged to an operator; every leader must have it.
	acknowledged uint64
}

// testFleetSize is the number of machines with which a test fleet starts.
const testFleetSize = 3

func newTestFleet(t *testing.T, seed int64) *testFleet {
	t.Helper()
	fleet := &testFleet{t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewSource(seed))}
	for number := range testFleetSize {
		fleet.seeds = append(fleet.seeds, fmt.Sprintf("127.0.0.%d:1", number+1))
	}
	for number := range testFleetSize {
		fleet.add(fleet.seeds[number], number, true)
	}
	fleet.until("a first view", 10*time.Second,
		func() bool { return fleet.leader() != nil && len(fleet.leader().node.View().Chain) == testFleetSize })
	return fleet
}

// add starts a machine with an empty disk at an address.
func (fleet *testFleet) add(address string, number int, founding bool) *testMember {
	member := &testMember{
		address:  address,
		disk:     newTestDisk(),
		identity: fmt.Sprintf("id%02d", number),
		founding: founding,
	}
	fleet.members = append(fleet.members, member)
	fleet.start(member)
	return member
}

func (fleet *testFleet) start(member *testMember) {
	restored, err := storage.Recover(member.disk, func() string { return member.identity }, "test")
	if err != nil {
		fleet.t.Fatalf("%s cannot recover its disk: %v", member.address, err)
	}
	fleet.wantContiguous(member, restored)
	member.incarnations++
	member.store, member.writes = restored.Store, nil
	member.node = New(
		fleet.now,
		Settings{
			Address:  member.address,
			Zone:     member.address,
			Seeds:    fleet.seeds,
			Founders: fleet.seeds,
			Founding: member.founding,
		},
		restored.State,
		restored.Records,
		rand.New(rand.NewSource(fleet.random.Int63())),
	)
}

// wantContiguous checks that the history that was recovered from a disk has no gap.
func (fleet *testFleet) wantContiguous(member *testMember, restored storage.Recovery) {
	state := proto.CloneOf(restored.State)
	for _, record := range restored.Records {
		durability.Replay(state, record)
	}
	last := state.Document.GetSequence()
	for _, entry := range state.Pending {
		if last++; entry.Sequence != last {
			fleet.t.Fatalf("%s recovered entry %d in place of %d", member.address, entry.Sequence, last)
		}
	}
}

// kill ends a process; its pending writes are lost.
func (fleet *testFleet) kill(member *testMember) { member.node, member.writes = nil, nil }

func (fleet *testFleet) at(address string) *testMember {
	for _, member := range fleet.members {
		if member.address == address && member.up() {
			return member
		}
	}
	return nil
}

func (fleet *testFleet) leader() *testMember {
	for _, member := range fleet.members {
		if member.up() && member.node.IsLeading(fleet.now) {
			return member
		}
	}
	return nil
}

// run advances the fleet by a time.
func (fleet *testFleet) run(length time.Duration) {
	for end := fleet.now.Add(length); fleet.now.Before(end); {
		fleet.step()
	}
}

// until advances the fleet until a condition holds. It fails the test after the timeout.
func (fleet *testFleet) until(event string, timeout time.Duration, holds func() bool) {
	fleet.t.Helper()
	for end := fleet.now.Add(timeout); !holds(); fleet.step() {
		if fleet.now.After(end) {
			fleet.describe()
			fleet.t.Fatalf("%s: not reached within %v", event, timeout)
		}
	}
}

func (fleet *testFleet) step() {
	fleet.now = fleet.now.Add(fleetStep)
	arriving := fleet.inFlight
	fleet.inFlight = nil
	for _, message := range arriving {
		if member := fleet.at(message.To); member != nil && (fleet.isLost == nil || !fleet.isLost(message)) {
			member.node.Receive(fleet.now, message.Envelope)
		}
	}
	for _, member := range fleet.members {
		if !member.up() {
			continue
		}
		if fleet.now.UnixMilli()%50 == 0 {
			member.node.Tick(fleet.now)
		}
		fleet.drain(member)
		fleet.completeWrites(member)
		fleet.drain(member)
	}
	fleet.checkLeaders()
}

// drain collects the messages and writes of a machine.
func (fleet *testFleet) drain(member *testMember) {
	messages, writes := member.node.Ready()
	for _, message := range messages {
		message.Envelope = proto.CloneOf(message.Envelope)
		fleet.inFlight = append(fleet.inFlight, message)
	}
	member.writes = append(member.writes, writes...)
}

func (fleet *testFleet) completeWrites(member *testMember) {
	if member.disk.stalled || len(member.writes) == 0 {
		return
	}
	writes := member.writes
	member.writes = nil
	storage.WriteBatch(member.store, writes, func(sequence uint64) { member.node.Synced(fleet.now, sequence) },
		func(error) { member.node.DiskFailed(fleet.now) })
}

// checkLeaders checks that every leader has the newest acknowledged epoch.
func (fleet *testFleet) checkLeaders() {
	for _, member := range fleet.members {
		if member.up() && member.node.IsLeading(fleet.now) && member.node.Chain().Committed().SpecEpoch < fleet.acknowledged {
			fleet.describe()
			fleet.t.Fatalf("%s leads with epoch %d after %d was acknowledged", member.address,
				member.node.Chain().Committed().SpecEpoch, fleet.acknowledged)
		}
	}
}

func (fleet *testFleet) describe() {
	for _, member := range fleet.members {
		if member.up() {
			chain, view := member.node.Chain(), member.node.View()
			names := " " + strings.Join(ids(view.Chain), " ")
			fleet.t.Logf("%s %s: view %d of%s, committed %d, pending %d, synced %d, learned %d, leads %v, unhealthy %v",
				member.address, member.identity, view.Epoch, names, chain.Committed().SpecEpoch, len(chain.Pending()),
				chain.Synced(), chain.LearnedView(), member.node.IsLeading(fleet.now),
				member.node.members.disk.IsUnhealthy(fleet.now))
		}
	}
}

// send submits a request to a machine. The response is filled in when it arrives; its status is 0 until then.
func (fleet *testFleet) send(member *testMember, request *wire.OperatorRequest) *response {
	response := &response{}
	if member == nil || !member.up() {
		return response
	}
	member.node.Submit(fleet.now, proto.CloneOf(request), func(status int, body []byte) {
		response.status = status
		if err := json.Unmarshal(body, &response.reply); err != nil {
			panic(err)
		}
	})
	return response
}

// testOperator sends one change after the other. It retries each through the next machine until it is acknowledged.
type testOperator struct {
	fleet *testFleet
	name  string
	// routes is the number of routes in each configuration.
	routes int
	// number is the number of acknowledged changes.
	number uint64
	// target is the index of the next machine to use, modulo the number of machines.
	target  int
	request *wire.OperatorRequest
	copies  []*response
	sent    time.Time
	next    time.Time
}

// operatorInterval is the shortest interval between two changes of a test's operator.
const operatorInterval = 100 * time.Millisecond

// tick sends the next change or retry if it is due. It fails the test if a copy of a request is refused.
func (operator *testOperator) tick() {
	fleet := operator.fleet
	if operator.request == nil {
		if fleet.now.Before(operator.next) {
			return
		}
		operator.next = fleet.now.Add(operatorInterval)
		operator.request = apply(
			fmt.Sprintf("%s%d", operator.name, operator.number+1),
			operator.number,
			operator.number+1,
			routes(operator.routes)...)
		operator.copies, operator.sent = nil, time.Time{}
	}
	for _, copy := range operator.copies {
		if copy.status >= 400 && copy.status < 500 {
			fleet.describe()
			fleet.t.Fatalf("%s, sent %d times, was refused: status %d, reply %+v", operator.request.Operation,
				len(operator.copies), copy.status, copy.reply)
		}
		if copy.status == 200 {
			operator.number++
			fleet.acknowledged = operator.number
			operator.request = nil
			return
		}
	}
	if fleet.now.Sub(operator.sent) >= operatorRetryDelay {
		operator.sent = fleet.now
		for range fleet.members {
			operator.target++
			if member := fleet.members[operator.target%len(fleet.members)]; member.up() {
				operator.copies = append(operator.copies, fleet.send(member, operator.request))
				return
			}
		}
	}
}

// routes returns names of routes. With its name each takes a quarter of a kilobyte in a configuration.
func routes(count int) []string {
	names := make([]string, 0, count+1)
	names = append(names, "lane")
	for number := range count {
		names = append(names, fmt.Sprintf("lane%d%s", number, strings.Repeat("x", 180)))
	}
	return names
}
