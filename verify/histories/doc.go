// Package histories records what clients, runners, the platform and operators saw, and checks it against what must
// never happen.
//
// A History holds records of single observations (Run, Answer, Order, Drain, Fault and others); moments are those of
// one clock. A Checker looks at a history while it grows, at each run and each answer as it comes, and at the rest at
// the end; Check does so for a complete history. Simulated and real histories are checked by the same rules, which
// Rules names. A rule excuses only what a recorded fault touched, and its bounds are constants. The checker shares no
// code with what it checks but the configuration document. A checker that is given a broken history must name the
// rule; the tests break one for every rule.
package histories
