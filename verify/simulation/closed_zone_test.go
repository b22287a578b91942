package simulation

import (
	"testing"
	"time"

	"wardtray/verify/histories"
	"wardtray/wire"
)

// TestClosedZoneIsLeft keeps a zone closed for longer than requests may still go there, without any fault; whether the
// attempt "closed zone" closes one for so long depends on its seed.
func TestClosedZoneIsLeft(t *testing.T) {
	t.Parallel()
	if underRace {
		t.Skip("played without the race detector")
	}
	for index, shape := range []Shape{GuildPath, FerriesPath} {
		t.Run(shape.Mix.Pool, func(t *testing.T) {
			t.Parallel()
			world := Found(int64(index+1), shape)
			defer world.Close()
			world.Run(8 * time.Second)
			newOperators(world, 500_000).apply(world.Cores()[0])
			world.Run(3 * time.Second)
			traffic := world.Traffic
			traffic.Rate = DefaultTrial.Rate
			world.Run(2 * time.Second)
			closing := &wire.OperatorRequest{Verb: "close", Zone: traffic.History.Zones[0], Operation: "closing"}
			order := world.Check.Send(world.Cores()[0], closing)
			world.Run(time.Second)
			if order.Outcome != "accepted" {
				t.Fatalf("the closing is %q", order.Outcome)
			}
			world.Run(histories.ZoneBound)
			runs := len(traffic.History.Runs)
			world.Run(2 * time.Second)
			for _, violation := range world.Check.Violations {
				t.Error(violation)
			}
			if len(traffic.History.Runs) == runs {
				t.Error("nothing ran in the zones that are open")
			}
		})
	}
}
