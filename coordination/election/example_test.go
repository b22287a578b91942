package election_test

import (
	"fmt"
	"time"

	"wardtray/coordination/election"
)

func Example() {
	now := time.Unix(0, 0)
	second := election.New(now, "b")
	second.SetOrder([]string{"a", "b", "c"})
	second.Observe(now, "a")
	_, leads := second.Campaign(now.Add(time.Second))
	fmt.Println("while a is alive:", leads)
	epoch, leads := second.Campaign(now.Add(2 * election.LeaderTimeout))
	fmt.Println("after the timeout of a:", leads, "under epoch", epoch)
	fmt.Println("a result of a under an older epoch is accepted:", second.Accept(0, "a"))
	// Output:
	// while a is alive: false
	// after the timeout of a: true under epoch 1
	// a result of a under an older epoch is accepted: false
}
