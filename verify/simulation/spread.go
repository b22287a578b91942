package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"wardtray/control/proposal"
	"wardtray/wire"
)

// Spread is how a change reached a partial view of some size.
type Spread struct {
	Daemons int
	// Half, Most and All are how long after the commit half, 99 % and all daemons had the change;
	// Acknowledged is how long after it was sent the operator had the answer.
	Half, Most, All, Acknowledged time.Duration
	// Messages and Bytes are what one daemon sent in a second of quiet; ChangeBytes is what the change
	// itself added for each daemon, by its difference to the quiet.
	Messages, Bytes, CrossZoneBytes, ChangeBytes float64
}

// MeasureSpread founds a deployment with so many daemons in three zones and lets one change through.
func MeasureSpread(seed int64, daemons int, routes int) (Spread, error) {
	world := foundWide(seed, daemons, 18)
	world.Run(15 * time.Second)
	spread := Spread{Daemons: daemons}
	network := world.network
	messages, bytes, crossZone := network.Messages, network.Bytes, network.CrossZoneBytes
	const quiet = 4 * time.Second
	world.Run(quiet)
	per := float64(daemons) * quiet.Seconds()
	spread.Messages = float64(network.Messages-messages) / per
	spread.Bytes = float64(network.Bytes-bytes) / per
	spread.CrossZoneBytes = float64(network.CrossZoneBytes-crossZone) / per
	bytes = network.Bytes
	order := world.Check.Send(world.Hosts[1],
		&wire.OperatorRequest{Verb: proposal.VerbApply, Spec: manyRoutes(routes), HasBase: true, Operation: "change"})
	sent, committed := world.Now, time.Time{}
	arrived := map[string]time.Duration{}
	const window = 6 * time.Second
	for world.Now.Sub(sent) < window && len(world.Check.Violations) == 0 {
		world.Run(5 * time.Millisecond)
		if committed.IsZero() && world.byName["c:core"].core.node.Chain().Committed().SpecEpoch == 1 {
			committed = world.Now
		}
		for _, host := range world.Datas() {
			if _, had := arrived[host.Address]; !had && host.daemon.controller.Snapshot(host.local()).SpecEpoch == 1 {
				arrived[host.Address] = world.Now.Sub(committed)
			}
		}
	}
	if len(world.Check.Violations) > 0 || len(arrived) < daemons || !order.isAccepted() {
		return spread, fmt.Errorf("%d of %d have the change, its outcome is %s; %v", len(arrived), daemons,
			order.Outcome, world.Check.Violations)
	}
	quietBytes := spread.Bytes * float64(daemons) * window.Seconds()
	spread.ChangeBytes = (float64(network.Bytes-bytes) - quietBytes) / float64(daemons)
	lengths := make([]time.Duration, 0, daemons)
	for _, length := range arrived {
		lengths = append(lengths, length)
	}
	sort.Slice(lengths, func(left, right int) bool { return lengths[left] < lengths[right] })
	spread.Half, spread.Most, spread.All = lengths[daemons/2], lengths[daemons*99/100], lengths[daemons-1]
	spread.Acknowledged = order.Got.Sub(sent)
	return spread, nil
}

// manyRoutes is a spec with so many routes.
func manyRoutes(count int) []byte {
	text := &strings.Builder{}
	text.WriteString(`{"zones":[{"name":"a","closed":false}],`)
	text.WriteString(`"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[`)
	for number := range max(1, count) {
		if number > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(text, `{"name":"l%d","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}`, number)
	}
	text.WriteString("]}")
	return []byte(text.String())
}
