package controller

import (
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/control/node"
	"wardtray/coordination/gossip"
	"wardtray/coordination/peersampling"
	"wardtray/wire"
)

// onRegister takes in what a rumor changed.
func (director *Director) onRegister(now time.Time, register *wire.Register) {
	if register.Key == node.DocumentKey {
		director.onDocument(now, register)
		return
	}
	if register.Key == director.listKey() {
		director.onList(now, register)
		return
	}
	if id, found := strings.CutPrefix(register.Key, "z/"+director.startup.Zone+"/beat/"); found {
		director.duty.Heard(now, id)
	}
}

func (director *Director) onDocument(now time.Time, register *wire.Register) {
	document := &wire.Document{}
	if proto.Unmarshal(register.Value, document) != nil || document.Sequence <= director.sequence {
		director.counters.OddDocuments++
		return
	}
	if document.SpecEpoch != director.specEpoch {
		content, err := config.Unpack(document.PackedSpec)
		if err != nil {
			director.counters.OddDocuments++
			return
		}
		parsed, err := config.Parse(content)
		if err != nil {
			director.counters.OddDocuments++
			return
		}
		director.book = config.NewBook(parsed)
	}
	director.counters.Documents++
	director.sequence, director.specEpoch, director.directory = document.Sequence, document.SpecEpoch, document.Directory
	var order []string
	for _, member := range document.Directory {
		if member.Zone == director.startup.Zone {
			order = append(order, member.Address)
		}
	}
	director.duty.Order(order)
	// The head waits for this word before it acknowledges the change; it should not wait for the next round.
	if len(director.view.Chain) > 0 {
		director.askTicks(now, []string{director.view.Chain[0].Address})
	}
}

// partners gives whom rumors go to: neighbours first, and the directory where neighbours are few.
func (director *Director) partners() []gossip.Partner {
	zones := map[string]string{}
	for _, line := range director.cohort.Lines() {
		zones[line.Address] = line.Zone
	}
	if len(director.directory) <= 2*peersampling.Size {
		for _, member := range director.directory {
			zones[member.Address] = member.Zone
		}
	}
	delete(zones, director.startup.Address)
	partners := make([]gossip.Partner, 0, len(zones))
	for address, zone := range zones {
		partners = append(partners, gossip.Partner{Address: address, Zone: zone})
	}
	sort.Slice(partners, func(left, right int) bool { return partners[left].Address < partners[right].Address })
	return partners
}
