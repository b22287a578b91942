// Package placement measures in simulated time which runner a prompt is given to, and what that costs. Daemons use the
// product's own schedulers, load tables, prefix indexes and retry budgets; requests, runners and faults are models. Two
// simulations differ in their models:
//
//   - slotSimulation (Measure, Table) lets a mix of loadtest arrive at random moments, on runners that prefill one
//     prompt after the other and answer side by side (slotRunner);
//   - batchSimulation (Play.Run, Report) lets a workload with shared parts arrive in clumps, on runners that batch
//     (batchRunner), with slow, crashed and replaced runners.
//
// Each policy of picking a runner sees the same requests. A seed fixes every figure: a simulation is one goroutine, and
// draws from nothing but its seed. A fleet is simulated alone; the control plane has no part in it.
package placement
