package simulation

import (
	"net/http"
	"time"

	"wardtray/control/proposal"
	"wardtray/wire"
)

// readBackTime is the time that the fleet gets to settle before it is read back, and each control machine to answer a
// read.
const readBackTime = 2 * time.Second

// readBack lets the fleet settle, and checks on every control machine the outcome of each answered change.
func readBack(world *World) {
	world.Run(readBackTime)
	for _, host := range world.Cores() {
		world.Check.outcomes.requireKept(host)
		read := world.Check.Send(host, &wire.OperatorRequest{Verb: proposal.VerbGet})
		world.Run(readBackTime)
		if minimum := world.Check.outcomes.greatestAcknowledged(); read.Status != http.StatusOK || read.Epoch < minimum {
			world.Check.violation("forgotten: read back at %s: status %d, epoch %d of %d", host.Address, read.Status,
				read.Epoch, minimum)
		}
	}
}
