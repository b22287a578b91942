// Command wtctl is the operators' command line for a fleet.
//
// Each group of commands has a file: the configuration document (document.go, diff.go), zones, operations, the state of
// the fleet (status.go, with a status_*.go for each of its tables), explanations of scheduling, and the import of other
// programs' configurations. session.go registers them all, exit.go defines the exit codes, and printer.go and table.go
// write the output.
package main

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/apierror"
	"wardtray/control/operator"
)

const help = `wtctl operates a wardtray fleet.

Exit codes: 0 done, 1 refused (or diff found a difference), 2 wrong usage, 3 outcome unknown (query it with
"wtctl operation ID"), 4 fleet unreachable.

Examples:
  export WTCTL_CORE=127.0.1.1:8100
  wtctl get > spec.json
  wtctl diff spec.json
  wtctl apply spec.json
  wtctl apply spec.json --base 7 --operation change-42
  wtctl change new-lane.json
  wtctl close quay
  wtctl operation change-42
  wtctl status chain
  wtctl import nginx.conf > spec.json
  wtctl explain 127.0.1.1:8200 --lane chat --model m --prompt-tokens 900 --prefix system=400`

func main() {
	os.Exit(int(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)))
}

// run runs one command and returns the exit code. A failure to write to output is an error of the command. A failure to
// write to errors can't be reported; the exit code still reports the error that was to be printed.
func run(arguments []string, input io.Reader, output, errors io.Writer) exitCode {
	session := &session{
		input:  input,
		output: &printer{writer: output},
		errors: &printer{writer: errors},
	}
	usagePrinted := false
	application := kingpin.New("wtctl", help).UsageWriter(session.output).ErrorWriter(session.errors)
	application.Terminate(func(int) { usagePrinted = true })
	application.HelpFlag.Short('h')
	cores := application.Flag("core", "HTTP address of a wtcore; may be given several times; they are tried in order.")
	addresses := cores.Short('c').Envar("WTCTL_CORE").Strings()
	asJSON := application.Flag("json", "Print responses as JSON.").Bool()
	commands := session.register(application)
	chosen, err := application.Parse(arguments)
	if usagePrinted {
		return exitOfUsage(arguments)
	}
	if err != nil {
		session.errors.printf("wtctl: %v; see wtctl --help\n", err)
		return exitUsage
	}
	session.client, session.json = operator.New(*addresses), *asJSON
	code, err := commands[chosen]()
	if err == nil {
		err = apierror.Wrap(session.output.err, apierror.Internal, "printing")
	}
	if err != nil {
		session.errors.printf("wtctl: %v\n", err)
		return exitOf(err)
	}
	return code
}
