package controller

import (
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/coordination/gossip"
	"wardtray/coordination/peersampling"
	"wardtray/wire"
)

// onRegister takes in what a gossip message changed.
func (controller *Controller) onRegister(now time.Time, register *wire.GossipEntry) {
	if register.Key == gossip.DocumentKey {
		controller.onDocument(now, register)
		return
	}
	if register.Key == controller.listKey() {
		controller.onList(now, register)
		return
	}
	if id, found := strings.CutPrefix(register.Key, "z/"+controller.settings.Zone+"/beat/"); found {
		controller.election.Heard(now, id)
	}
}

func (controller *Controller) onDocument(now time.Time, register *wire.GossipEntry) {
	document := &wire.Document{}
	if proto.Unmarshal(register.Value, document) != nil || document.Sequence <= controller.sequence {
		controller.counters.OddDocuments++
		return
	}
	if document.SpecEpoch != controller.specEpoch {
		content, err := config.Unpack(document.PackedSpec)
		if err != nil {
			controller.counters.OddDocuments++
			return
		}
		parsed, err := config.Parse(content)
		if err != nil {
			controller.counters.OddDocuments++
			return
		}
		controller.catalog = config.NewCatalog(parsed)
	}
	controller.counters.Documents++
	controller.sequence, controller.specEpoch, controller.directory = document.Sequence, document.SpecEpoch, document.Directory
	var order []string
	for _, member := range document.Directory {
		if member.Zone == controller.settings.Zone {
			order = append(order, member.Address)
		}
	}
	controller.election.Order(order)
	// The head waits for this word before it acknowledges the change; it should not wait for the next round.
	if len(controller.view.Chain) > 0 {
		controller.askTicks(now, []string{controller.view.Chain[0].Address})
	}
}

// partners gives whom gossip go to: neighbours first, and the directory where neighbours are few.
func (controller *Controller) partners() []gossip.Peer {
	zones := map[string]string{}
	for _, line := range controller.partialView.Peers() {
		zones[line.Address] = line.Zone
	}
	if len(controller.directory) <= 2*peersampling.Size {
		for _, member := range controller.directory {
			zones[member.Address] = member.Zone
		}
	}
	delete(zones, controller.settings.Address)
	partners := make([]gossip.Peer, 0, len(zones))
	for address, zone := range zones {
		partners = append(partners, gossip.Peer{Address: address, Zone: zone})
	}
	sort.Slice(partners, func(left, right int) bool { return partners[left].Address < partners[right].Address })
	return partners
}
