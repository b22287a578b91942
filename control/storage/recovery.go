package storage

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/coordination/snapshot"
	"wardtray/wire"
)

// retryInterval is the time between two attempts to recover from a failing disk.
const retryInterval = 100 * time.Millisecond

// Folder is a data folder whose content can be set aside if it can't be trusted.
type Folder interface {
	snapshot.Folder
	// SetAside moves the content out of the way, under a name that contains mark, and leaves the folder blank.
	SetAside(mark string) error
}

// Recovery is the result of reading a data folder.
type Recovery struct {
	// Store is the open folder, on which the node's further writes are executed.
	Store *snapshot.Store
	// State is the last complete state; its Id is the node's identity and is never empty.
	State *wire.DurableState
	// Records are those logged after State, in the order in which they were written.
	Records []*wire.Record
	// HasNewIdentity states that the identity is new, because the folder was blank or could not be trusted.
	HasNewIdentity bool
	// DiscardCause is the reason why earlier content was set aside; nil if none was.
	DiscardCause error
}

// Recover reads a data folder. A blank folder gets a new identity from identity, and so does one whose content can't be
// trusted: that content is set aside under mark, since a node that has lost its votes must not vote under its old
// identity. An error means that the disk does not store what was read or written; with the code DiskFailed a later
// attempt may succeed.
func Recover(folder Folder, identity func() string, mark string) (Recovery, error) {
	store, recovered, err := snapshot.Open(folder)
	if err == nil && !recovered.Blank {
		var recovery Recovery
		if recovery, err = decode(store, recovered); err == nil {
			return recovery, nil
		}
	}
	var untrusted error
	if apierror.Is(err, apierror.DataLost) {
		untrusted = err
		if err = folder.SetAside(mark); err != nil {
			return Recovery{}, apierror.Wrap(err, apierror.DiskFailed, "setting the untrusted state aside")
		}
		store, _, err = snapshot.Open(folder)
	}
	if err != nil {
		return Recovery{}, err
	}
	recovery := Recovery{Store: store, State: &wire.DurableState{Id: identity()},
		HasNewIdentity: true, DiscardCause: untrusted}
	return recovery, writeFirst(store, recovery.State)
}

// RecoverWithin calls recoverOnce until it succeeds or fails for a reason other than the disk, or until timeout is
// over, and returns the last result. It retries because a process that exits when its disk fails, for example because
// the disk is full, is restarted anyway, and the restarts take time from the other processes of the machine.
func RecoverWithin(timeout time.Duration, recoverOnce func() (Recovery, error)) (Recovery, error) {
	for started := time.Now(); ; time.Sleep(retryInterval) {
		recovery, err := recoverOnce()
		if !apierror.Is(err, apierror.DiskFailed) || time.Since(started) >= timeout {
			return recovery, err
		}
	}
}

// writeFirst writes the state of a new identity.
func writeFirst(store *snapshot.Store, state *wire.DurableState) error {
	content, err := proto.Marshal(state)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encoding the initial state")
	}
	return store.SaveSnapshot(content)
}

// decode decodes and validates the content of a folder. Errors have the code DataLost.
func decode(store *snapshot.Store, recovered snapshot.Recovered) (Recovery, error) {
	state := &wire.DurableState{}
	if err := proto.Unmarshal(recovered.Snapshot, state); err != nil {
		return Recovery{}, apierror.Wrap(err, apierror.DataLost, "decoding the stored state")
	}
	var records []*wire.Record
	for _, content := range recovered.Records {
		record := &wire.Record{}
		if err := proto.Unmarshal(content, record); err != nil {
			return Recovery{}, apierror.Wrap(err, apierror.DataLost, "decoding a logged record")
		}
		records = append(records, record)
	}
	if state.Id == "" || !isComplete(state.View) {
		return Recovery{}, apierror.New(apierror.DataLost,
			"the stored state has no identity, or a view without members or acceptors")
	}
	for _, record := range records {
		if !isComplete(record.GetView()) {
			return Recovery{}, apierror.New(apierror.DataLost, "the log has a view without members or acceptors")
		}
	}
	return Recovery{Store: store, State: state, Records: records}, nil
}

// isComplete reports whether a view, if there is one, has members and acceptors.
func isComplete(view *wire.View) bool {
	return view.GetEpoch() == 0 || len(view.GetChain()) > 0 && len(view.GetAcceptors()) > 0
}
