package main

import "wardtray/control/proposal"

// printReply prints a reply and returns the exit code of its outcome. It returns an error unchanged.
func (session *session) printReply(reply proposal.Reply, err error) (exitCode, error) {
	if err != nil {
		return exitRefused, err
	}
	if session.json {
		return exitOfOutcome(reply.Outcome), session.output.printJSON(reply)
	}
	output := session.output
	output.printf("%s", reply.Outcome)
	if reply.Epoch > 0 {
		output.printf(", epoch %d", reply.Epoch)
	}
	if reply.Operation != "" {
		output.printf(", operation %s", reply.Operation)
	}
	output.printf("\n")
	if reply.Code != "" {
		output.printf("%s: %s\nremedy: %s\n", reply.Code, reply.Detail, reply.Remedy)
	}
	for _, problem := range reply.Problems {
		output.printf("  %s: %s\n", problem.Path, problem.Detail)
	}
	return exitOfOutcome(reply.Outcome), nil
}
