// Package loadtest draws and sends the requests of the deployments' clients, and reads what they get.
//
// A Mix is the work of a deployment: its kinds of requests, each with a route of its own. Mix.Draw draws a request
// from a source of random numbers alone, so that a seed fixes the requests; the simulator and the measurements of
// placement use it without a network. Load sends a mix over HTTP to the daemons of a real fleet, as separate clients,
// and records what each got in a history. Clients believe nothing but what they read: EventParser and ParseRejection
// read streams and refusals by the documented interface, and share no code with the daemons but the names of headers.
package loadtest
