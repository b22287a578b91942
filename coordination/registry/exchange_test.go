package registry

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"wardtray/coordination/statemachine"
)

// pair holds two exchanges that send their messages to each other.
type pair struct {
	outboxes  [2]*statemachine.Outbox
	exchanges [2]*Exchange
}

func newPair() *pair {
	pair := &pair{}
	for index := range pair.outboxes {
		pair.outboxes[index] = statemachine.NewOutbox()
		pair.exchanges[index] = NewExchange(pair.outboxes[index])
	}
	return pair
}

// deliver delivers messages until neither exchange sends any more; it returns the number of messages.
func (pair *pair) deliver(now time.Time) int {
	count := 0
	for delivered := true; delivered; {
		delivered = false
		for index, outbox := range pair.outboxes {
			messages, _ := outbox.Drain()
			for _, message := range messages {
				count, delivered = count+1, true
				to := pair.exchanges[1-index]
				if update := message.Envelope.GetRunnerUpdate(); update != nil {
					to.HandleUpdate(now, "other", update)
				}
				if digest := message.Envelope.GetRunnerDigest(); digest != nil {
					to.HandleDigest(now, "other", digest)
				}
			}
			if count > 100 {
				return count
			}
		}
	}
	return count
}

// Whichever updates two processes have missed, one comparison of their checksums makes their live runners equal, after
// which they send nothing more.
func TestDifferingChecksumsAreRepaired(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("one round", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		pair := newPair()
		for _, exchange := range pair.exchanges {
			exchange.Merge(startTime, randomRecords(random))
		}
		left, right := pair.exchanges[0], pair.exchanges[1]
		left.HandleChecksum(startTime, "other", right.Checksum())
		if pair.deliver(startTime) > 6 {
			return false
		}
		right.HandleChecksum(startTime, "other", left.Checksum())
		return pair.deliver(startTime) <= 6 && left.Checksum() == right.Checksum() && func() bool {
			left.HandleChecksum(startTime.Add(time.Minute), "other", right.Checksum())
			return pair.deliver(startTime) == 0
		}()
	}, gen.Int64()))
	properties.TestingRun(t)
}
