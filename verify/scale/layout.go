// Package hollow runs thousands of hollow daemons on one machine against real wtcores: each carries
// the real coordination and control parts (controller, gossip, partial view, duties) and no traffic. It measures
// what a daemon and a core cost at several sizes, so that slopes can be told from one size to the next.
//
// Between daemons travel real encoded frames, carried within a process or over one connection between
// two; between a daemon and a core they travel over the daemon's own transport.
package scale

import (
	"fmt"

	"wardtray/config"
)

// Place is where a process stands.
type Place struct {
	Address string `json:"address"`
	HTTP    string `json:"http,omitempty"`
	Zone    string `json:"zone"`
	Region  int    `json:"region"`
	Core    bool   `json:"core,omitempty"`
	// Host is the hollow process that carries a daemon.
	Host int `json:"host"`
}

// regionZones is how many zones each region has: 15 in 6.
var regionZones = []int{3, 3, 3, 2, 2, 2}

// Zone is one zone of the layout.
type Zone struct {
	Name   string
	Region int
}

// Zones lists the layout's zones.
func Zones() []Zone {
	var zones []Zone
	for region, count := range regionZones {
		for number := range count {
			zones = append(zones, Zone{Name: fmt.Sprintf("r%d%c", region+1, 'a'+rune(number)), Region: region})
		}
	}
	return zones
}

const (
	// perBlock bounds the daemons of one third byte of an address, blocks the third bytes of a zone.
	perBlock = 250
	blocks   = 16
	corePart = 250
	linkPart = 251
	corePort = 7100
	dataPort = 7200
	httpPort = 8100
	linkPort = 7300
)

// daemonPlace gives the place of a daemon by its number; neighbours in number stand in different zones.
func daemonPlace(network, number, hosts int) Place {
	zones := Zones()
	zone, position := number%len(zones), number/len(zones)
	return Place{Address: fmt.Sprintf("127.%d.%d.%d:%d", network, zone*blocks+position/perBlock%blocks, position%perBlock+1, dataPort),
		Zone: zones[zone].Name, Region: zones[zone].Region, Host: number % hosts}
}

// corePlaces puts each core into a region of its own as long as there are regions.
func corePlaces(network, count int) []Place {
	var places []Place
	for number := range count {
		region := number % len(regionZones)
		zone := fmt.Sprintf("r%d%c", region+1, 'a'+rune(number/len(regionZones)%2))
		ip := fmt.Sprintf("127.%d.%d.%d", network, corePart, number+1)
		places = append(places, Place{Address: fmt.Sprintf("%s:%d", ip, corePort), HTTP: fmt.Sprintf("%s:%d", ip, httpPort), Zone: zone, Region: region, Core: true})
	}
	return places
}

func linkAddress(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", network, linkPart, host+1, linkPort)
}

// fleetSpec is a spec with so many tenants' routes over so many models' backends; mark tells one from another.
func fleetSpec(routes, backends, mark int) []byte {
	made := &config.Spec{}
	for _, zone := range Zones() {
		made.Zones = append(made.Zones, config.Zone{Name: zone.Name})
	}
	for number := range backends {
		made.Backends = append(made.Backends, config.Pool{Name: fmt.Sprintf("pool-%02d", number), Model: fmt.Sprintf("model-%02d", number),
			Weights: fmt.Sprintf("w-%02d", number), Services: []string{fmt.Sprintf("runners-%02d", number)}})
	}
	for number := range routes {
		value := float64(1 + number%10)
		if number == 0 {
			value = float64(1 + mark%1000)
		}
		made.Routes = append(made.Routes, config.Route{Name: fmt.Sprintf("tenant-%03d", number), Pool: fmt.Sprintf("pool-%02d", number%backends),
			Value: value, LatencyTarget: config.Duration(4e9), ConcurrencyLimit: 0.5, Idempotent: number%3 != 0})
	}
	return made.Encode()
}
