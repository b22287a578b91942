package node

import (
	"sort"
	"time"

	"wardtray/wire"
)

// tendDirectory lets daemons into the directory, and those long absent out. The next change enters only when the
// last is delivered, which takes most of the old directory as well as most of the new one.
func (node *Node) tendDirectory(now time.Time) {
	if !node.leading(now) || len(node.chain.Pending()) > 0 || node.disk.IsUnhealthy(now) {
		return
	}
	document := node.chain.Committed()
	arrived := node.arrived(now, document.Directory)
	present := node.withoutAbsent(now, document.Directory)
	if len(arrived) == 0 && len(present) == len(document.Directory) || !node.delivered(now, document.Sequence) {
		return
	}
	if len(document.Directory) == 0 && now.Sub(node.head.firstDaemon) < directoryWait {
		return
	}
	directory := append(present, arrived...)
	sort.Slice(directory, func(left, right int) bool { return directory[left].Address < directory[right].Address })
	if err := node.chain.Enter(now, &wire.Entry{Directory: directory, SpecEpoch: document.SpecEpoch}); err != nil {
		node.counters.Refused++
	}
}

// arrived lists the daemons that ask for ticks and are not in the directory yet.
func (node *Node) arrived(now time.Time, directory []*wire.Member) []*wire.Member {
	inside := map[string]bool{}
	for _, member := range directory {
		inside[member.Address] = true
	}
	var arrived []*wire.Member
	for address, known := range node.head.daemons {
		if !inside[address] && known.asks >= 2 && !known.leaving && now.Sub(known.asked) < node.settings.Staleness {
			arrived = append(arrived, &wire.Member{Id: address, Address: address, Zone: known.zone, Http: known.http})
		}
	}
	return arrived
}

func (node *Node) withoutAbsent(now time.Time, directory []*wire.Member) []*wire.Member {
	var present []*wire.Member
	for _, member := range directory {
		last := node.head.started
		if known := node.head.daemons[member.Address]; known != nil && known.asked.After(last) {
			last = known.asked
		}
		if now.Sub(last) <= absentBound {
			present = append(present, member)
		}
	}
	// An empty directory lets anybody in unasked; the last known daemons stay until another comes.
	if len(present) == 0 {
		return append(present, directory...)
	}
	return present
}

// addressSet is the addresses of one document's directory.
type addressSet struct {
	sequence  uint64
	addresses map[string]bool
}

// inDirectory tells whether a daemon stands in a document's directory. The set is made once for each document, since
// every question for a lease looks into it.
func (node *Node) inDirectory(document *wire.Document, address string) bool {
	if node.directorySet.addresses == nil || node.directorySet.sequence != document.Sequence {
		addresses := make(map[string]bool, len(document.Directory))
		for _, member := range document.Directory {
			addresses[member.Address] = true
		}
		node.directorySet = addressSet{sequence: document.Sequence, addresses: addresses}
	}
	return node.directorySet.addresses[address]
}
