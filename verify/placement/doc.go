// Package placement measures, in simulated time, the cost of policies that choose a runner for each request. Daemons
// use the product's schedulers, load tables, prefix indexes and retry budgets; requests, runners and faults are models.
// There are two simulations with different models:
//
//   - slotSimulation (Measure, Table): requests of a loadtest.Mix arrive at random times at runners that prefill one
//     prompt at a time and decode several answers concurrently (slotRunner);
//   - batchSimulation (BatchExperiment.Run, Report): requests of a workload with shared prompt parts arrive in bursts
//     at runners with continuous batching (batchRunner), some of which are slow, crash or are replaced.
//
// All policies receive the same requests. Results are reproducible from the seed: a simulation is one goroutine and
// draws all random numbers from its seed. A simulation contains one fleet and no control plane.
package placement
