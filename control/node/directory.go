package node

import (
	"sort"
	"time"

	"wardtray/wire"
)

// tendDirectory lets daemons into the directory, and those long absent out. The next change enters only when the
// last is delivered, which takes most of the old directory as well as most of the new one.
func (node *Node) tendDirectory(now time.Time) {
	if !node.leadership.IsLeading(now) || len(node.chain.Pending()) > 0 || node.disk.IsUnhealthy(now) {
		return
	}
	document := node.chain.Committed()
	arrived := node.leases.Arrivals(now, document.Directory)
	present := node.leases.ExcludeMissing(now, node.leadership.Started(), document.Directory)
	if len(arrived) == 0 && len(present) == len(document.Directory) || !node.delivered(now, document.Sequence) {
		return
	}
	if len(document.Directory) == 0 && now.Sub(node.leases.FirstRequest()) < directoryWait {
		return
	}
	directory := append(present, arrived...)
	sort.Slice(directory, func(left, right int) bool { return directory[left].Address < directory[right].Address })
	if err := node.chain.Enter(now, &wire.Entry{Directory: directory, SpecEpoch: document.SpecEpoch}); err != nil {
		node.counters.Refused++
	}
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
