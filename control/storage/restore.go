package storage

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/coordination/snapshot"
	"wardtray/wire"
)

// Folder is a data folder from which a memory that can't be trusted can be set aside.
type Folder interface {
	snapshot.Folder
	SetAside(mark string) error
}

// Recovery is what a data folder gave.
type Recovery struct {
	Store   *snapshot.Store
	Memory  *wire.DurableState
	Records []*wire.Record
	// Fresh tells that the identity is new; Lost is why an older memory was set aside, if one was.
	Fresh bool
	Lost  error
}

// Restore reads a data folder back. A blank one gets a new identity, and so does one whose memory
// can't be trusted: an identity lives on its disk and ends with it.
func Restore(folder Folder, identity func() string, mark string) (Recovery, error) {
	restored := Recovery{}
	store, recovered, err := snapshot.Open(folder)
	if err == nil && !recovered.Blank {
		restored.Store = store
		restored.Memory, restored.Records, err = decode(recovered)
		if err == nil {
			return restored, nil
		}
	}
	if apierror.Is(err, apierror.NoMemory) {
		restored.Lost = err
		if err := folder.SetAside(mark); err != nil {
			return Recovery{}, apierror.Wrap(err, apierror.DiskFailed, "setting the old memory aside")
		}
		store, _, err = snapshot.Open(folder)
	}
	if err != nil {
		return Recovery{}, err
	}
	restored.Store, restored.Fresh, restored.Memory = store, true, &wire.DurableState{Id: identity()}
	content, err := proto.Marshal(restored.Memory)
	if err != nil {
		return Recovery{}, apierror.Wrap(err, apierror.Internal, "encoding the first memory")
	}
	return restored, store.Replace(content)
}

// restoreEvery is how often a failing disk is tried again.
const restoreEvery = 100 * time.Millisecond

// RestoreWithin restores again and again while the disk fails, say because it is full, up to a bound. Why: a
// process that ends over it is started again all the same, and costs its machine the other roles' time.
func RestoreWithin(bound time.Duration, restore func() (Recovery, error)) (Recovery, error) {
	for started := time.Now(); ; time.Sleep(restoreEvery) {
		restored, err := restore()
		if !apierror.Is(err, apierror.DiskFailed) || time.Since(started) >= bound {
			return restored, err
		}
	}
}

func decode(recovered snapshot.Recovered) (*wire.DurableState, []*wire.Record, error) {
	memory := &wire.DurableState{}
	if err := proto.Unmarshal(recovered.Memory, memory); err != nil {
		return nil, nil, apierror.Wrap(err, apierror.NoMemory, "decoding the slot")
	}
	var records []*wire.Record
	for _, content := range recovered.Records {
		record := &wire.Record{}
		if err := proto.Unmarshal(content, record); err != nil {
			return nil, nil, apierror.Wrap(err, apierror.NoMemory, "decoding the log")
		}
		records = append(records, record)
	}
	if memory.Id == "" || !viewWhole(memory.View) {
		return nil, nil, apierror.New(apierror.NoMemory, "the slot holds no identity, or a view of nobody")
	}
	for _, record := range records {
		if !viewWhole(record.GetView()) {
			return nil, nil, apierror.New(apierror.NoMemory, "the log holds a view of nobody")
		}
	}
	return memory, records, nil
}

// viewWhole tells whether a view, if there is one, has somebody in it.
func viewWhole(view *wire.View) bool {
	return view.GetEpoch() == 0 || len(view.GetChain()) > 0 && len(view.GetAcceptors()) > 0
}
