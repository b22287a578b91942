// Package histories records what clients, runners, the platform and operators observed of a fleet, and checks the
// record against rules for what must never happen.
//
// A History holds records of single observations (Run, ClientAttempt, OperatorRequest, Drain, Fault and others); all
// times are those of one clock. A Checker checks a growing history: each run and each answer when it is recorded, and
// the remaining rules at the end. Check checks a complete history at once. The same rules, listed in Rules, apply to
// simulated and real histories. A rule excuses only what a recorded fault affected, and its bounds are constants. The
// checker shares only the configuration document with the code that it checks. The tests violate each rule once and
// check that the checker names it.
package histories
