package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"wardtray/control/proposal"
	"wardtray/wire"
)

// Propagation reports how a change propagated through a fleet with partial views.
type Propagation struct {
	Daemons int
	// Half, Most and All are the times after the commit at which half, 99 % and all daemons had the change; Acknowledged
	// is the time from sending it to the operator's answer.
	Half, Most, All, Acknowledged time.Duration
	// Messages, Bytes and CrossZoneBytes are the numbers of messages and bytes per daemon and second without changes;
	// ChangeBytes is the number of bytes per daemon that the change added to this idle traffic.
	Messages, Bytes, CrossZoneBytes, ChangeBytes float64
}

// MeasurePropagation starts a deployment with the given number of daemons in three zones and measures how one change
// propagates.
func MeasurePropagation(seed int64, daemons int, routes int) (Propagation, error) {
	world := newWideDeployment(seed, daemons, 18)
	world.Run(15 * time.Second)
	propagation := Propagation{Daemons: daemons}
	network := world.network
	messages, bytes, crossZone := network.Messages, network.Bytes, network.CrossZoneBytes
	const quiet = 4 * time.Second
	world.Run(quiet)
	daemonSeconds := float64(daemons) * quiet.Seconds()
	propagation.Messages = float64(network.Messages-messages) / daemonSeconds
	propagation.Bytes = float64(network.Bytes-bytes) / daemonSeconds
	propagation.CrossZoneBytes = float64(network.CrossZoneBytes-crossZone) / daemonSeconds
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
		for _, host := range world.Daemons() {
			if _, known := arrived[host.Address]; !known && host.daemon.controller.Snapshot(host.localTime()).SpecEpoch == 1 {
				arrived[host.Address] = world.Now.Sub(committed)
			}
		}
	}
	if len(world.Check.Violations) > 0 || len(arrived) < daemons || !order.isAccepted() {
		return propagation, fmt.Errorf("%d of %d daemons have the change, its outcome is %s; %v", len(arrived), daemons,
			order.Outcome, world.Check.Violations)
	}
	quietBytes := propagation.Bytes * float64(daemons) * window.Seconds()
	propagation.ChangeBytes = (float64(network.Bytes-bytes) - quietBytes) / float64(daemons)
	lengths := make([]time.Duration, 0, daemons)
	for _, length := range arrived {
		lengths = append(lengths, length)
	}
	sort.Slice(lengths, func(left, right int) bool { return lengths[left] < lengths[right] })
	propagation.Half, propagation.Most, propagation.All = lengths[daemons/2], lengths[daemons*99/100], lengths[daemons-1]
	propagation.Acknowledged = order.Got.Sub(sent)
	return propagation, nil
}

// manyRoutes returns a configuration with the given number of routes.
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
