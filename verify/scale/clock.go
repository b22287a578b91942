package scale

import (
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// monotonic is the machine's own steady clock, the same for all its processes.
func monotonic() time.Duration { return read(unix.CLOCK_MONOTONIC) }

// threadTime is the processor time of the calling thread, which must be locked to its goroutine.
func threadTime() time.Duration { return read(unix.CLOCK_THREAD_CPUTIME_ID) }

// processTime is the processor time of this process.
func processTime() time.Duration { return read(unix.CLOCK_PROCESS_CPUTIME_ID) }

func read(clock int32) time.Duration {
	var spec unix.Timespec
	if unix.ClockGettime(clock, &spec) != nil {
		return 0
	}
	return time.Duration(spec.Nano())
}

// usage is what the system says of a process: its processor time and its resident memory. A process
// that is gone has used nothing.
func usage(id int) (used time.Duration, resident uint64) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(id) + "/stat")
	if err != nil {
		return 0, 0
	}
	// A program's name may hold blanks, so fields are counted from its closing bracket.
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	if len(fields) < 22 {
		return 0, 0
	}
	const ticks = 100
	user, _ := strconv.ParseUint(fields[11], 10, 64)
	system, _ := strconv.ParseUint(fields[12], 10, 64)
	pages, _ := strconv.ParseUint(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / ticks, pages * uint64(os.Getpagesize())
}
