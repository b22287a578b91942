package node

import (
	"time"

	"wardtray/coordination/chain"
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
	current, document := node.members.agent.Current(), node.members.chain.Committed()
	status := Status{ID: node.self.Id, View: current.Epoch, Fleet: current.Fleet, Place: positionName(node.members.chain), Synced: node.members.chain.Synced(),
		Committed: document.Sequence, Epoch: document.SpecEpoch, Pending: len(node.members.chain.Pending()), Asks: node.requests.Count(),
		Claim: node.daemons.leadership.HoldsLease(now), Leading: node.daemons.leadership.IsLeading(now), Unhealthy: node.members.disk.IsUnhealthy(now), Runners: node.registrar.Counters()}
	for _, member := range current.Chain {
		line := MemberStatus{ID: member.Id, Address: node.members.detector.AddressOf(member), HTTP: member.Http, Zone: member.Zone, Heard: node.members.detector.IsAlive(now, member.Id)}
		if peer := node.members.detector.Peer(member.Id); peer != nil {
			line.Sequence, line.Unhealthy = peer.Heartbeat.Synced, peer.Heartbeat.Unhealthy
		} else if member.Id == node.self.Id {
			line.Sequence, line.Unhealthy = node.members.chain.Synced(), node.members.disk.IsUnhealthy(now)
		}
		status.Chain = append(status.Chain, line)
	}
	for _, member := range current.Acceptors {
		status.Acceptors = append(status.Acceptors, MemberStatus{ID: member.Id, Address: node.members.detector.AddressOf(member), HTTP: member.Http, Zone: member.Zone, Heard: node.members.detector.IsAlive(now, member.Id)})
	}
	for _, member := range document.Directory {
		line := MemberStatus{Address: member.Address, HTTP: member.Http, Zone: member.Zone}
		line.Sequence, line.Heard = node.daemons.leases.Progress(now, member.Address)
		status.Daemons = append(status.Daemons, line)
	}
	status.Warnings = node.members.facts(now).Warnings()
	return status
}

// positionName returns how operators call a machine's position in the chain.
func positionName(chain *chain.Chain) string {
	names := map[bool]map[bool]string{true: {true: "head and tail", false: "head"}, false: {true: "tail", false: "middle"}}
	if !chain.Inside() {
		return "outside"
	}
	return names[chain.Head()][chain.Tail()]
}
