package lease_test

import (
	"fmt"
	"time"

	"wardtray/coordination/lease"
)

func Example() {
	now := time.Unix(0, 0)
	lessee := lease.NewLessee(1234)
	nonce := lessee.Request(now, 1)
	lessee.AddGrant(now.Add(10*time.Millisecond), "first acceptor", 1, nonce, 2)
	fmt.Println("one of three:", lessee.Valid(now.Add(20*time.Millisecond), 1))
	lessee.AddGrant(now.Add(30*time.Millisecond), "second acceptor", 1, nonce, 2)
	fmt.Println("two of three:", lessee.Valid(now.Add(40*time.Millisecond), 1))
	fmt.Println("after a freeze:", lessee.Valid(now.Add(lease.LesseeTTL), 1))
	// Output:
	// one of three: false
	// two of three: true
	// after a freeze: false
}
