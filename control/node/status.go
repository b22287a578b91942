package node

import (
	"sort"
	"time"

	"wardtray/coordination/registry"
)

// Status is what a disk machine tells of itself.
type Status struct {
	ID        string         `json:"id"`
	View      uint64         `json:"view"`
	Fleet     string         `json:"fleet"`
	Place     string         `json:"place"`
	Chain     []MemberStatus `json:"chain"`
	Acceptors []MemberStatus `json:"keepers"`
	Daemons   []MemberStatus `json:"daemons"`
	Synced    uint64         `json:"synced"`
	Committed uint64         `json:"committed"`
	Epoch     uint64         `json:"epoch"`
	Pending   int            `json:"pending"`
	// Asks is how many questions of operators wait for an answer here.
	Asks      int  `json:"asks"`
	Claim     bool `json:"claim"`
	Leading   bool `json:"leading"`
	Unhealthy bool `json:"sick"`
	// Runners counts the runners' calls.
	Runners registry.Counters `json:"runners"`
	// Warnings name what the fleet can no longer bear to lose.
	Warnings []string `json:"warnings,omitempty"`
}

// MemberStatus is one line about another process.
type MemberStatus struct {
	ID        string `json:"id,omitempty"`
	Address   string `json:"address"`
	HTTP      string `json:"http,omitempty"`
	Zone      string `json:"zone"`
	Heard     bool   `json:"heard"`
	Sequence  uint64 `json:"sequence,omitempty"`
	Unhealthy bool   `json:"sick,omitempty"`
}

// Status gives the present state for operators.
func (node *Node) Status(now time.Time) Status {
	current, document := node.agent.Current(), node.chain.Committed()
	status := Status{ID: node.self.Id, View: current.Epoch, Fleet: current.Fleet, Place: node.placeName(), Synced: node.chain.Synced(),
		Committed: document.Sequence, Epoch: document.SpecEpoch, Pending: len(node.chain.Pending()), Asks: len(node.asks),
		Claim: node.holder.Valid(now, current.Epoch), Leading: node.leading(now), Unhealthy: node.unhealthy(now), Runners: node.registrar.Counters()}
	for _, member := range current.Chain {
		line := MemberStatus{ID: member.Id, Address: node.addressOf(member), HTTP: member.Http, Zone: member.Zone, Heard: node.fresh(now, member.Id)}
		if peer := node.peers[member.Id]; peer != nil {
			line.Sequence, line.Unhealthy = peer.heartbeat.Synced, peer.heartbeat.Unhealthy
		} else if member.Id == node.self.Id {
			line.Sequence, line.Unhealthy = node.chain.Synced(), node.unhealthy(now)
		}
		status.Chain = append(status.Chain, line)
	}
	for _, member := range current.Acceptors {
		status.Acceptors = append(status.Acceptors, MemberStatus{ID: member.Id, Address: node.addressOf(member), HTTP: member.Http, Zone: member.Zone, Heard: node.fresh(now, member.Id)})
	}
	for _, member := range document.Directory {
		line := MemberStatus{Address: member.Address, HTTP: member.Http, Zone: member.Zone}
		if known := node.head.daemons[member.Address]; known != nil {
			line.Heard, line.Sequence = now.Sub(known.asked) < node.settings.Staleness, known.sequence
		}
		status.Daemons = append(status.Daemons, line)
	}
	status.Warnings = node.warnings(now)
	return status
}

// Leading tells whether this machine acts as head at this moment.
func (node *Node) Leading(now time.Time) bool { return node.leading(now) }

func (node *Node) placeName() string {
	names := map[bool]map[bool]string{true: {true: "head and tail", false: "head"}, false: {true: "tail", false: "middle"}}
	if !node.chain.Inside() {
		return "outside"
	}
	return names[node.chain.Head()][node.chain.Tail()]
}

// warnings tells which losses the fleet could no longer bear.
func (node *Node) warnings(now time.Time) []string {
	var warnings []string
	current := node.agent.Current()
	if current.Epoch == 0 {
		return []string{"no view yet: every founder must be up and blank for the first one"}
	}
	live := 0
	for _, member := range current.Chain {
		if node.fresh(now, member.Id) {
			live++
		}
	}
	if live <= int(current.MinReplicas) && current.MinReplicas > 1 {
		warnings = append(warnings, "the chain has no copy to spare: the loss of one more disk machine stops changes")
	}
	if live == 1 {
		warnings = append(warnings, "there is one live copy of the control state")
	}
	acceptors := 0
	for _, acceptor := range current.Acceptors {
		if node.fresh(now, acceptor.Id) {
			acceptors++
		}
	}
	if acceptors < len(current.Acceptors) || len(current.Acceptors) < node.acceptorCount() {
		warnings = append(warnings, "not all keepers are live: the loss of one more stops the mending of the chain")
	}
	if !spread(current.Acceptors) {
		warnings = append(warnings, "most keepers stand in one zone")
	}
	sort.Strings(warnings)
	return warnings
}
