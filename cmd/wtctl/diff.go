package main

import (
	"wardtray/config"
	"wardtray/control/proposal"
)

// difference lists the changes between the present configuration document and a new one, and the new one's problems.
type difference struct {
	Changes []string `json:"changes"`
	// Epoch is the configuration version of the present document.
	Epoch    uint64           `json:"epoch"`
	Problems []config.Problem `json:"flaws"`
}

// diff prints the changes between the present document and the one in a file, and the problems of the latter. The exit
// code is exitRefused if there is a change or a problem.
func (session *session) diff(path string) (exitCode, error) {
	content, err := readFile(path, session.input)
	if err != nil {
		return exitUsage, err
	}
	wanted, err := config.Parse(content)
	if err != nil {
		return exitRefused, err
	}
	return session.withPresent(func(reply proposal.Reply) (exitCode, error) {
		found, err := compare(reply, wanted)
		if err != nil {
			return exitRefused, err
		}
		return found.exitCode(), session.printDifference(found)
	})
}

// compare returns the difference between the present document, which the reply contains, and a wanted one. A reply
// without a document stands for an empty one.
func compare(reply proposal.Reply, wanted *config.Spec) (difference, error) {
	present := &config.Spec{}
	if len(reply.Spec) > 0 {
		parsed, err := config.Parse(reply.Spec)
		if err != nil {
			return difference{}, err
		}
		present = parsed
	}
	return difference{Changes: config.Diff(present, wanted), Epoch: reply.Epoch, Problems: wanted.Check()}, nil
}

// exitCode returns exitRefused if there is a change or a problem.
func (found difference) exitCode() exitCode {
	if len(found.Changes)+len(found.Problems) > 0 {
		return exitRefused
	}
	return exitFine
}

// printDifference prints a difference, as JSON if --json is set.
func (session *session) printDifference(found difference) error {
	if session.json {
		return session.output.printJSON(found)
	}
	found.print(session.output)
	return nil
}

// print writes a line for each change and each problem.
func (found difference) print(output *printer) {
	output.printf("against epoch %d\n", found.Epoch)
	for _, change := range found.Changes {
		output.printf("%s\n", change)
	}
	for _, problem := range found.Problems {
		output.printf("! %s: %s\n", problem.Path, problem.Detail)
	}
}
