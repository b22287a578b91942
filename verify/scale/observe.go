package scale

import (
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

// observation is what all counters of a fleet read at one moment.
type observation struct {
	at     time.Time
	report Report
	cores  []coreReading
}

// coreReading is what the counters of one core process read.
type coreReading struct {
	// process is the system's id of the process; 0 where none ran or none could answer.
	process  int
	place    string
	used     time.Duration
	resident uint64
	wire     map[string]any
}

// observe reads all counters.
func (fleet *fleet) observe() observation {
	made := observation{cores: make([]coreReading, len(fleet.cores))}
	for place, process := range fleet.cores {
		made.cores[place] = fleet.readCore(process)
	}
	made.report, made.at = fleet.order(Order{Verb: "report"}), time.Now()
	return made
}

func (fleet *fleet) readCore(process *coreProcess) coreReading {
	if process.command == nil || process.dark {
		return coreReading{}
	}
	status := fleet.status(process)
	reading := coreReading{process: process.command.Process.Pid, place: status.Core.Place, wire: status.Wire}
	reading.used, reading.resident = usage(reading.process)
	return reading
}

// between makes a phase of what the counters went up by; daemons is how many of them lived meanwhile.
func (fleet *fleet) between(name string, first, second observation, daemons int) Phase {
	phase := Phase{Name: name, Seconds: second.at.Sub(first.at).Seconds(), Figures: map[string]float64{}, Steps: map[string]StepRate{}}
	each := float64(max(1, daemons)) * phase.Seconds / fleet.pace
	used := (second.report.Used - first.report.Used).Seconds()
	phase.Figures["daemon.processor"] = used / each
	phase.Figures["harness.processor"] = used / phase.Seconds
	phase.Figures["carrier.dropped"] = float64(second.report.Dropped - first.report.Dropped)
	phase.Figures["harness.late_99"] = second.report.Late.since(first.report.Late).share(0.99).Seconds()
	phase.Figures["daemon.searches"] = float64(second.report.Searches-first.report.Searches) / each
	phase.Figures["machine.load"] = machineLoad()
	phase.addFlows(first.report, second.report, each)
	phase.addSteps(first.report, second.report, each)
	phase.addCores(first.cores, second.cores)
	hosts, cores := fleet.resident()
	phase.Figures["harness.resident"], phase.Figures["cores.resident"] = float64(hosts), float64(cores)
	return phase
}

// tellPhase shows a phase's main figures.
func (fleet *fleet) tellPhase(phase Phase) {
	fleet.tell("%s: %.1f s, %.2f processors for the daemons, %.1f messages and %.0f bytes a daemon and second, ticks %.0f ms late (99%%), %.0f MiB, load %.1f; %s", phase.Name, phase.Seconds,
		phase.Figures["harness.processor"], phase.Figures["daemon.messages"], phase.Figures["daemon.bytes"], phase.Figures["harness.late_99"]*1000,
		(phase.Figures["harness.resident"]+phase.Figures["cores.resident"])/mebibyte, phase.Figures["machine.load"], strings.Join(phase.Notes, "; "))
}

// machineLoad is the machine's load average of the last minute, what others run on it included; 0 where it is not told.
func machineLoad() float64 {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(content), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// since gives what a histogram counted after an earlier state of it.
func (late lateness) since(previous lateness) lateness {
	for place := range late.Buckets {
		late.Buckets[place] -= previous.Buckets[place]
	}
	return late
}

// borderFigures name the figure of a daemon's bytes over each border.
var borderFigures = map[string]string{"zone": "daemon.bytes_own_zone", "region": "daemon.bytes_other_zone", "regions": "daemon.bytes_other_region"}

// addFlows notes what a daemon sent and what the cores sent it, by kind and border.
func (phase *Phase) addFlows(first, second Report, each float64) {
	held := map[Flow]Count{}
	for _, line := range first.Flows {
		held[line.Flow] = line.Count
	}
	for _, line := range second.Flows {
		rate := FlowRate{Kind: line.Kind, Way: line.Way, Border: line.Border, Messages: float64(line.Messages-held[line.Flow].Messages) / each,
			Bytes: float64(line.Bytes-held[line.Flow].Bytes) / each}
		if rate.Messages == 0 {
			continue
		}
		phase.Flows = append(phase.Flows, rate)
		phase.addRate(rate)
	}
	sort.Slice(phase.Flows, func(left, right int) bool {
		one, other := phase.Flows[left], phase.Flows[right]
		return one.Way+one.Kind+one.Border < other.Way+other.Kind+other.Border
	})
}

func (phase *Phase) addRate(rate FlowRate) {
	if rate.Way != "from cores" {
		phase.Figures["daemon.messages"] += rate.Messages
		phase.Figures["daemon.bytes"] += rate.Bytes
		phase.Figures[borderFigures[rate.Border]] += rate.Bytes
	}
	phase.Figures["daemon.messages_all"] += rate.Messages
	phase.Figures["daemon.bytes_all"] += rate.Bytes
	phase.Figures["kind."+rate.Kind+".messages"] += rate.Messages
	phase.Figures["kind."+rate.Kind+".bytes"] += rate.Bytes
}

// addSteps notes how many steps of each kind a daemon made and the processor time of one.
func (phase *Phase) addSteps(first, second Report, each float64) {
	for kind, spent := range second.Spent {
		steps, time := spent.Steps-first.Spent[kind].Steps, spent.Time-first.Spent[kind].Time
		if steps > 0 {
			phase.Steps[kind] = StepRate{PerSecond: float64(steps) / each, Microseconds: time.Seconds() * 1e6 / float64(steps)}
		}
	}
}

// addCores notes what the processes used that ran at both moments, and the figures by their places in the chain.
func (phase *Phase) addCores(first, second []coreReading) {
	for place, reading := range second {
		if reading.process == 0 || reading.process != first[place].process {
			continue
		}
		rate := func(name string) float64 {
			return (number(reading.wire[name]) - number(first[place].wire[name])) / phase.Seconds
		}
		phase.Cores = append(phase.Cores, Core{Place: reading.place, Processor: (reading.used - first[place].used).Seconds() / phase.Seconds, Resident: reading.resident,
			Sent: rate("sent"), Received: rate("received"), BytesOut: rate("bytes_out"), BytesIn: rate("bytes_in"), Dropped: rate("dropped") * phase.Seconds})
	}
	phase.coreFigures()
}

func number(value any) float64 {
	found, _ := value.(float64)
	return found
}

// coreFigures notes the head's and the tail's figures by name, and the greatest of the others.
func (phase *Phase) coreFigures() {
	for _, core := range phase.Cores {
		for _, role := range strings.Split(core.Place, " and ") {
			for name, value := range map[string]float64{"processor": core.Processor, "resident": float64(core.Resident), "sent": core.Sent, "received": core.Received,
				"bytes_out": core.BytesOut, "bytes_in": core.BytesIn, "dropped": core.Dropped} {
				key := role + "." + name
				phase.Figures[key] = max(phase.Figures[key], value)
			}
		}
	}
}
