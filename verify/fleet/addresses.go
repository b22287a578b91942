package fleet

import "fmt"

// The ports of a fleet's processes. Each machine and runner has its own IP address, so all processes of one program
// use the same port.
const (
	portCore     = 7100
	portCoreHTTP = 8100
	portData     = 7200
	portDataHTTP = 8200
	portPlatform = 9000
	portRunner   = 9100
)

// The third byte of an address shows the kind of its owner: for machines it is the number of their zone, from 1; for
// runners it is firstRunnerByte or firstReplacementByte plus the index of their zone.
const (
	firstRunnerByte      = 100
	firstReplacementByte = 150
	swappedByte          = 200
	platformByte         = 250
)

// addressPlan assigns the loopback addresses of a deployment.
type addressPlan struct {
	// network is the second byte of all addresses of the deployment.
	network int
}

func (plan addressPlan) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", plan.network, third, fourth)
}

// machine returns the IP address of a machine; zone and number count from 0.
func (plan addressPlan) machine(zone, number int) string { return plan.ip(zone+1, number+1) }

// swappedMachine returns the IP address of the machine that replaces a control machine.
func (plan addressPlan) swappedMachine(number int) string { return plan.ip(swappedByte, number+1) }

// platform returns the address at which the platform serves its list of runners.
func (plan addressPlan) platform() string { return join(plan.ip(platformByte, 1), portPlatform) }

// runner returns the address of the runner at an index.
func (plan addressPlan) runner(zone, index int) string {
	return join(plan.ip(firstRunnerByte+zone, index+1), portRunner)
}

// replacementRunner returns the address of the runner that a rolling release starts while its predecessor still runs.
func (plan addressPlan) replacementRunner(zone, index int) string {
	return join(plan.ip(firstReplacementByte+zone, index+1), portRunner)
}

func join(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
