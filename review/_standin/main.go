package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases maps the names of the cases to their functions. A function returns a result, and an error if it could not run.
var cases = map[string]func(fleet *fleet, trouble bool) (int, error){
	"moved-stream":  movedStream,
	"silent-stream": silentStream,
	"held-end":      heldEnd,
}

// layouts maps the names of the cases to the number of machines in each of the three zones.
var layouts = map[string]int{"moved-stream": 2, "silent-stream": 2, "held-end": 2}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin CASE FOLDER")
		return failed
	}
	name, folder := os.Args[1], os.Args[2]
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	record := &record{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	fleet, err := newFleet(record, []string{"klang", "melaka", "dickson"}, max(1, layouts[name]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer fleet.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fleet.stop()
		os.Exit(failed)
	}()
	// The machines' time is bounded, whatever happens.
	time.AfterFunc(115*time.Second, func() {
		record.line("out of time")
		fleet.stop()
		os.Exit(failed)
	})
	record.line("case %s, trouble %v", name, trouble)
	if err := fleet.start(); err != nil {
		record.line("could not start: %v", err)
		return failed
	}
	result, err := cases[name](fleet, trouble)
	if err != nil {
		record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	record.line("result: %s", map[int]string{held: "the rule held", broken: "the rule was BROKEN"}[result])
	fmt.Printf("%s, trouble %v: %s\n", name, trouble, map[int]string{held: "held", broken: "BROKEN"}[result])
	return result
}
