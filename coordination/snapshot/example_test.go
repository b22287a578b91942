package snapshot_test

import (
	"fmt"
	"os"

	"wardtray/coordination/snapshot"
)

func Example() {
	folder, err := os.MkdirTemp("", "slots")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	store, recovered, err := snapshot.Open(snapshot.Directory(folder))
	if err != nil {
		panic(err)
	}
	fmt.Println("blank:", recovered.Blank)
	for _, err := range []error{store.SaveSnapshot([]byte("state")), store.Append([]byte("one"), []byte("two"))} {
		if err != nil {
			panic(err)
		}
	}
	_, recovered, err = snapshot.Open(snapshot.Directory(folder))
	if err != nil {
		panic(err)
	}
	fmt.Printf("%s and %s\n", recovered.Snapshot, recovered.Records)
	// Output:
	// blank: true
	// state and [one two]
}
