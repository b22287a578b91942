package modelcheck

import (
	"slices"
	"strings"
)

// message is a message between two machines; kind is that of its body, content its encoding.
type message struct {
	from, to string
	kind     string
	content  string
	digest   uint64
}

// network holds the messages in flight between machines, and the cuts.
type network struct {
	// inFlight are the messages whose order is explored, delayed those that Hold removed from inFlight.
	inFlight []message
	delayed  []message
	// isolated holds the names of the machines in the isolated group, and of the links that are cut.
	isolated map[string]bool
}

func newNetwork() *network { return &network{isolated: map[string]bool{}} }

func linkName(one, other string) string { return one + "|" + other }

// isPartitioned reports whether a group is isolated or a link is cut.
func (network *network) isPartitioned() bool { return len(network.isolated) > 0 }

// isolate cuts off a group of machines, named by a list with commas, or one link; messages in flight across the cut are
// lost.
func (network *network) isolate(subject string) {
	for _, name := range strings.Split(subject, ",") {
		network.isolated[name] = true
	}
	network.drop(func(message message) bool { return network.disconnected(message.from, message.to) })
}

// heal ends every cut.
func (network *network) heal() { network.isolated = map[string]bool{} }

// disconnected reports whether two machines can't reach each other: only one of them is in the group that is cut off,
// or the link between them is cut.
func (network *network) disconnected(one, other string) bool {
	return network.isolated[one] != network.isolated[other] || network.isolated[linkName(one, other)] ||
		network.isolated[linkName(other, one)]
}

// drop removes messages in flight or delayed.
func (network *network) drop(lost func(message message) bool) {
	for _, list := range []*[]message{&network.inFlight, &network.delayed} {
		remaining := (*list)[:0:0]
		for _, message := range *list {
			if !lost(message) {
				remaining = append(remaining, message)
			}
		}
		*list = remaining
	}
}

// take removes and returns the first message with a digest: for Release from the delayed ones, for any other verb from
// those in flight.
func (network *network) take(verb Verb, digest uint64) message {
	list := &network.inFlight
	if verb == Release {
		list = &network.delayed
	}
	index := slices.IndexFunc(*list, func(message message) bool { return message.digest == digest })
	taken := (*list)[index]
	*list = slices.Delete(slices.Clone(*list), index, index+1)
	return taken
}

func digestsOf(messages []message) []uint64 {
	digests := make([]uint64, 0, len(messages))
	for _, message := range messages {
		digests = append(digests, message.digest)
	}
	return digests
}
