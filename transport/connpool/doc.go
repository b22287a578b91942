// Package connpool pools connections to runners.
//
// Before the first request goes over a new connection the runner is asked for its identity, and connections are pooled
// by that identity. So an address that now belongs to another runner never receives requests meant for the previous
// one.
package connpool
