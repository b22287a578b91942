package simulation

import (
	"time"

	"wardtray/control/storage"
	"wardtray/coordination/snapshot"
	"wardtray/coordination/statemachine"
)

const (
	// minimumWriteTime is the shortest time that a batch of writes takes, writeTimeSpread the longest random addition to
	// it.
	minimumWriteTime = time.Millisecond
	writeTimeSpread  = 3 * time.Millisecond
	// stallPollInterval is the interval at which a batch checks whether its disk still stalls.
	stallPollInterval = 20 * time.Millisecond
)

// coreStorage is the disk of a control machine with its queue of writes, written one batch at a time. While the process
// is frozen the disk continues, and the process is notified when it wakes.
type coreStorage struct {
	core  *coreProcess
	disk  *disk
	store *snapshot.Store
	// queued are the writes that follow the batch being written.
	queued  []statemachine.Write
	writing bool
	// stalled means that the disk completes nothing; delay is added to the time of each batch.
	stalled bool
	delay   time.Duration
}

func newCoreStorage(core *coreProcess) *coreStorage {
	return &coreStorage{core: core, disk: newDisk(core.host.world.random)}
}

// recoverState reads the disk as a starting process does; newIdentity names an empty disk.
func (device *coreStorage) recoverState(newIdentity func() string) (storage.Recovery, error) {
	device.reset()
	device.disk.losingPower = false
	recovered, err := storage.Recover(device.disk, newIdentity, "")
	if err != nil {
		return storage.Recovery{}, err
	}
	device.store = recovered.Store
	return recovered, nil
}

// reset drops the queued writes, as the end of the process does.
func (device *coreStorage) reset() { device.queued, device.writing = nil, false }

// enqueue adds writes to the queue.
func (device *coreStorage) enqueue(writes []statemachine.Write) {
	device.queued = append(device.queued, writes...)
	device.writeNext()
}

// writeNext starts a batch of all queued writes, unless one is being written or the disk stalls.
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

// finish completes a batch once the disk does not stall, and notifies the process if it is still in that incarnation.
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
		host.runInProcess(incarnation, func() { core.node.Synced(host.localTime(), sequence) })
	}, func(error) {
		host.runInProcess(incarnation, func() { core.node.DiskFailed(host.localTime()) })
	})
	device.writeNext()
}

// resume ends a stall.
func (device *coreStorage) resume() {
	device.stalled = false
	device.writeNext()
}

// losePower cuts the power during the queued writes, which leaves a torn write behind.
func (device *coreStorage) losePower() {
	if len(device.queued) == 0 {
		return
	}
	device.disk.losingPower = true
	storage.WriteBatch(device.store, device.queued, func(uint64) {}, func(error) {})
}
