package main

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/control/operator"
	"wardtray/coordination/quota"
)

// status prints one part of the fleet, or all, and warns of lost redundancy.
func (here *context) status(part string) (int, error) {
	fleet, err := here.client.Status()
	if err != nil {
		return exitRefused, err
	}
	if here.json {
		return exitFine, here.print(fleet)
	}
	parts := map[string]func(output io.Writer, fleet operator.FleetStatus){"chain": showChain, "view": showView, "cohort": showPartialView,
		"runners": showRunners, "tenants": showTenants, "counters": showCounters}
	writer := tabwriter.NewWriter(here.output, 0, 4, 2, ' ', 0)
	if show := parts[part]; show != nil {
		show(writer, fleet)
	} else {
		for _, name := range []string{"chain", "view", "cohort", "runners", "tenants", "counters"} {
			fmt.Fprintf(writer, "== %s\n", name)
			parts[name](writer, fleet)
		}
	}
	warned := map[string]bool{}
	for _, core := range fleet.Cores {
		for _, warning := range core.Core.Warnings {
			warned[warning] = true
		}
	}
	for _, silent := range fleet.Silent {
		warned["no answer from "+silent] = true
	}
	warnings := make([]string, 0, len(warned))
	for warning := range warned {
		warnings = append(warnings, warning)
	}
	sort.Strings(warnings)
	for _, warning := range warnings {
		fmt.Fprintf(writer, "warning: %s\n", warning)
	}
	return exitFine, apierror.Wrap(writer.Flush(), apierror.Internal, "printing")
}

func showChain(output io.Writer, fleet operator.FleetStatus) {
	fmt.Fprintln(output, "MACHINE\tZONE\tPLACE\tSYNCED\tCOMMITTED\tEPOCH\tCLAIM\tSICK\tID")
	for _, core := range fleet.Cores {
		state := core.Core
		fmt.Fprintf(output, "%s\t%s\t%s\t%d\t%d\t%d\t%v\t%v\t%s\n", core.Address, core.Zone, state.Place, state.Synced, state.Committed, state.Epoch, state.Claim, state.Unhealthy, state.ID)
	}
}

func showView(output io.Writer, fleet operator.FleetStatus) {
	fmt.Fprintln(output, "SEEN BY\tVIEW\tFLEET\tCHAIN\tKEEPERS")
	for _, core := range fleet.Cores {
		chain, acceptors := "", ""
		for _, member := range core.Core.Chain {
			chain += member.Address + " "
		}
		for _, member := range core.Core.Acceptors {
			acceptors += member.Address + " "
		}
		fmt.Fprintf(output, "%s\t%d\t%s\t%s\t%s\n", core.Address, core.Core.View, core.Core.Fleet, chain, acceptors)
	}
}

func showPartialView(output io.Writer, fleet operator.FleetStatus) {
	fmt.Fprintln(output, "DAEMON\tZONE\tEPOCH\tVIEW\tSERVING\tDRAINING\tIN FLIGHT\tNEIGHBOURS\tUPTIME")
	for _, data := range fleet.Datas {
		fmt.Fprintf(output, "%s\t%s\t%d\t%d\t%v\t%v\t%d\t%d\t%s\n", data.Address, data.Zone, data.Epoch, data.View, data.Serving, data.Draining, data.InFlight, len(data.PartialView), data.Uptime)
	}
}

// showRunners prints what the daemons together know: in flight is the sum over all of them.
func showRunners(output io.Writer, fleet operator.FleetStatus) {
	type line struct {
		address, zone, service, state, reason string
		load                                  float64
		inFlight, slots, usable, daemons      int
	}
	lines := map[string]*line{}
	for _, data := range fleet.Datas {
		for _, runner := range data.Runners {
			known := lines[runner.ID]
			if known == nil {
				known = &line{address: runner.Address, zone: runner.Zone, service: runner.Service, state: runner.State, slots: runner.Slots}
				lines[runner.ID] = known
			}
			known.daemons++
			known.inFlight += runner.InFlight
			known.load = max(known.load, runner.Load)
			if runner.Usable {
				known.usable++
			} else {
				known.reason = runner.Reason
			}
		}
	}
	ids := make([]string, 0, len(lines))
	for id := range lines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	fmt.Fprintln(output, "RUNNER\tADDRESS\tZONE\tSERVICE\tSTATE\tIN FLIGHT\tLOAD\tSLOTS\tUSABLE BY\tWHY NOT")
	for _, id := range ids {
		known := lines[id]
		fmt.Fprintf(output, "%s\t%s\t%s\t%s\t%s\t%d\t%.0f\t%d\t%d of %d\t%s\n", id, known.address, known.zone, known.service, known.state,
			known.inFlight, known.load, known.slots, known.usable, known.daemons, known.reason)
	}
}

// showTenants prints what each tenant with a quota has used and was refused, and what is held for it, at all daemons
// together and at each.
func showTenants(output io.Writer, fleet operator.FleetStatus) {
	sums := map[string]quota.Usage{}
	for _, data := range fleet.Datas {
		for name, usage := range data.Tenants {
			sum := sums[name]
			sum.Used += usage.Used
			sum.Refused += usage.Refused
			sum.Balance += usage.Balance
			sum.Demand += usage.Demand
			sums[name] = sum
		}
	}
	names := make([]string, 0, len(sums))
	for name := range sums {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintln(output, "TENANT\tDAEMON\tUSED\tREFUSED\tHELD\tASKED A SECOND")
	for _, name := range names {
		showUsage(output, name, "all", sums[name])
		for _, data := range fleet.Datas {
			if usage, known := data.Tenants[name]; known {
				showUsage(output, name, data.Address, usage)
			}
		}
	}
}

func showUsage(output io.Writer, tenant, daemon string, usage quota.Usage) {
	fmt.Fprintf(output, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\n", tenant, daemon, usage.Used, usage.Refused, usage.Balance, usage.Demand)
}

// showCounters prints each route's counts, summed over the daemons.
func showCounters(output io.Writer, fleet operator.FleetStatus) {
	type sum struct {
		requests, done, early, late, retries, held, prompt, across uint64
		ends                                                       map[string]uint64
	}
	sums := map[string]*sum{}
	for _, data := range fleet.Datas {
		for name, route := range data.Routes {
			known := sums[name]
			if known == nil {
				known = &sum{ends: map[string]uint64{}}
				sums[name] = known
			}
			known.requests += route.Requests
			known.done += route.Done
			known.early += route.Early
			known.late += route.Late
			known.retries += route.Retries
			known.held += route.HeldTokens
			known.prompt += route.PromptTokens
			known.across += route.BytesAcross
			for end, count := range route.Ends {
				known.ends[end] += count
			}
		}
	}
	names := make([]string, 0, len(sums))
	for name := range sums {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintln(output, "LANE\tREQUESTS\tDONE\tREFUSED EARLY\tREFUSED LATE\tREPEATS\tTOKENS TAKEN AS HELD\tBYTES ACROSS ZONES\tENDS")
	for _, name := range names {
		known := sums[name]
		share := 0.0
		if known.prompt > 0 {
			share = 100 * float64(known.held) / float64(known.prompt)
		}
		fmt.Fprintf(output, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%d\t%v\n", name, known.requests, known.done, known.early, known.late, known.retries, share, known.across, known.ends)
	}
	fmt.Fprintln(output, "PROCESS\tSENT\tDROPPED\tBAD FRAMES\tBYTES OUT\tOF THESE TO OTHER ZONES")
	for _, core := range fleet.Cores {
		showWire(output, core.Address, core.Wire)
	}
	for _, data := range fleet.Datas {
		showWire(output, data.Address, data.Wire)
	}
}

func showWire(output io.Writer, address string, counters map[string]any) {
	fmt.Fprintf(output, "%s\t%v\t%v\t%v\t%v\t%v\n", address, counters["sent"], counters["dropped"], counters["bad_frames"], counters["bytes_out"], counters["bytes_other_zone"])
}

// explained prints the offers of an auction, the best first.
func explained(output io.Writer, content []byte) error {
	told := struct {
		Decision     scheduler.Decision          `json:"step"`
		Candidates   []scheduler.ScoredCandidate `json:"quotes"`
		CostWeights  scheduler.CostWeights       `json:"prices"`
		Requirements scheduler.Requirements      `json:"bid"`
	}{}
	if err := json.Unmarshal(content, &told); err != nil {
		return apierror.Wrap(err, apierror.Malformed, "the daemon's answer")
	}
	fmt.Fprintf(output, "step: %s", told.Decision.Kind)
	if told.Decision.Kind == scheduler.Dispatch {
		fmt.Fprintf(output, " to %s at %s", told.Decision.Runner.ID, told.Decision.Runner.Address)
	}
	if told.Decision.Reason != "" {
		fmt.Fprintf(output, " (%s)", told.Decision.Reason)
	}
	fmt.Fprintf(output, "\nprices: %.0f microseconds a token, %.2f s a place\nbid: worth %.0f, patience %v, within its purse %v\n", told.CostWeights.TokenSeconds*1e6,
		told.CostWeights.PlaceSeconds, told.Requirements.Value, told.Requirements.LatencyTarget, told.Requirements.WithinLimit)
	sort.SliceStable(told.Candidates, func(left, right int) bool { return told.Candidates[left].Net > told.Candidates[right].Net })
	writer := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, "RUNNER\tZONE\tLOAD\tSLOTS\tHELD TOKENS\tNET\tFIRST EVENT\tFULL")
	for _, scored := range told.Candidates {
		fmt.Fprintf(writer, "%s\t%s\t%.0f\t%d\t%d\t%+.4f\t%.3f s\t%v\n", scored.Candidate.ID, scored.Candidate.Zone, scored.Candidate.Load, scored.Candidate.Slots,
			scored.Candidate.HeldTokens, scored.Net, scored.First, scored.Full)
	}
	return apierror.Wrap(writer.Flush(), apierror.Internal, "printing")
}
