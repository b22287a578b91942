// Package connpool pools connections to runners.
//
// Before a new connection carries its first request, the pool requests the runner's identity over it. Connections are
// pooled by that identity, so an address that now belongs to another runner never receives requests for the previous
// one.
package connpool
