package lease_test

import (
	"fmt"
	"time"

	"wardtray/coordination/lease"
)

func Example() {
	now := time.Unix(0, 0)
	holder := lease.NewLessee(1234)
	nonce := holder.Ask(now, 1)
	holder.Grant(now.Add(10*time.Millisecond), "first keeper", 1, nonce, 2)
	fmt.Println("one of three:", holder.Valid(now.Add(20*time.Millisecond), 1))
	holder.Grant(now.Add(30*time.Millisecond), "second keeper", 1, nonce, 2)
	fmt.Println("two of three:", holder.Valid(now.Add(40*time.Millisecond), 1))
	fmt.Println("after a freeze:", holder.Valid(now.Add(lease.Held), 1))
	// Output:
	// one of three: false
	// two of three: true
	// after a freeze: false
}
