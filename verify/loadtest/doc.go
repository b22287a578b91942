// Package loadtest generates and sends the client requests of the deployments, and parses the responses.
//
// A Mix is the workload of a deployment: its kinds of requests, each with a route of its own. Mix.Draw generates a
// request from a random source alone, so that the requests are reproducible from a seed; the simulator and the
// placement measurements use it without a network. Load sends a mix over HTTP to the data daemons of a real fleet, each
// request from a separate client, and records the responses in a history. Clients rely only on the bytes that they
// receive: EventParser and ParseRejection parse streams and refusals as the public interface documents them, and share
// no code with the daemons except the names of headers.
package loadtest
