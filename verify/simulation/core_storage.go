package simulation

import (
	"time"

	"wardtray/control/storage"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
)

const (
	// minimumWriteTime is the least time that a batch of writes takes, writeTimeSpread the most that chance adds to it.
	minimumWriteTime = time.Millisecond
	writeTimeSpread  = 3 * time.Millisecond
	// stallPollInterval is how often a batch looks whether its disk still stalls.
	stallPollInterval = 20 * time.Millisecond
)

// coreStorage is the disk of a core's machine with the writes that wait for it, one batch at a time. While the process
// is frozen the disk works on, and the process hears of it when it wakes.
type coreStorage struct {
	core  *coreProcess
	disk  *disk
	store *snapshot.Store
	// queued are the writes behind the batch that is being written.
	queued  []statemachine.Write
	writing bool
	// stalled means that the disk completes nothing, delay is what it adds to the time of each batch.
	stalled bool
	delay   time.Duration
}

func newCoreStorage(core *coreProcess) *coreStorage {
	return &coreStorage{core: core, disk: newDisk(core.host.world.random)}
}

// recoverState reads what the disk holds, as a process does that starts; newIdentity names a disk that is empty.
func (device *coreStorage) recoverState(newIdentity func() string) (storage.Recovery, error) {
	device.reset()
	device.disk.dying = false
	recovered, err := storage.Recover(device.disk, newIdentity, "")
	if err != nil {
		return storage.Recovery{}, err
	}
	device.store = recovered.Store
	return recovered, nil
}

// reset forgets the writes that wait, as the end of the process does.
func (device *coreStorage) reset() { device.queued, device.writing = nil, false }

// enqueue has the disk carry out more writes.
func (device *coreStorage) enqueue(writes []statemachine.Write) {
	device.queued = append(device.queued, writes...)
	device.writeNext()
}

// writeNext begins a batch of all that waits, unless one is being written or the disk stalls.
func (device *coreStorage) writeNext() {
	if device.writing || len(device.queued) == 0 || device.stalled {
		return
	}
	world := device.core.host.world
	device.writing = true
	batch, incarnation := device.queued, device.core.host.incarnation
	device.queued = nil
	world.After(minimumWriteTime+time.Duration(world.random.Int63n(int64(writeTimeSpread)))+device.delay, func() {
		device.finish(incarnation, batch)
	})
}

// finish completes a batch once the disk does not stall, and tells the process, if it is still that incarnation.
func (device *coreStorage) finish(incarnation int, batch []statemachine.Write) {
	core, host := device.core, device.core.host
	if !host.up || host.incarnation != incarnation {
		return
	}
	if device.stalled {
		host.world.After(stallPollInterval, func() { device.finish(incarnation, batch) })
		return
	}
	device.writing = false
	storage.WriteBatch(device.store, batch, func(sequence uint64) {
		host.on(incarnation, func() { core.node.Synced(host.local(), sequence) })
	}, func(error) {
		host.on(incarnation, func() { core.node.DiskFailed(host.local()) })
	})
	device.writeNext()
}

// resume ends a stall.
func (device *coreStorage) resume() {
	device.stalled = false
	device.writeNext()
}

// losePower has the power go in the middle of the writes that wait, of which a torn piece is left.
func (device *coreStorage) losePower() {
	if len(device.queued) == 0 {
		return
	}
	device.disk.dying = true
	storage.WriteBatch(device.store, device.queued, func(uint64) {}, func(error) {})
}
