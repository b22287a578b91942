package fleet

import "fmt"

// The ports of a fleet's processes. Each has an address of its own, so that all wtcores, for one, have the same.
const (
	portCore     = 7100
	portCoreHTTP = 8100
	portData     = 7200
	portDataHTTP = 8200
	portPlatform = 9000
	portRunner   = 9100
)

// The third byte of an address says what is there: machines have the number of their zone, from 1. In the ranges of
// the runners each zone has a byte of its own.
const (
	firstRunnerByte   = 100
	firstReleasedByte = 150
	swappedByte       = 200
	platformByte      = 250
)

// addressPlan gives each part of a deployment its address on loopback.
type addressPlan struct {
	// network is the second byte of all of its addresses.
	network int
}

func (plan addressPlan) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", plan.network, third, fourth)
}

// machine returns the IP address of a machine; zone and number count from 0.
func (plan addressPlan) machine(zone, number int) string { return plan.ip(zone+1, number+1) }

// swappedMachine returns the IP address of the machine that takes the place of a control machine.
func (plan addressPlan) swappedMachine(number int) string { return plan.ip(swappedByte, number+1) }

// platform returns the address of the platform's list.
func (plan addressPlan) platform() string { return join(plan.ip(platformByte, 1), portPlatform) }

// runner returns the address of the runner in a place of a zone.
func (plan addressPlan) runner(zone, place int) string {
	return join(plan.ip(firstRunnerByte+zone, place+1), portRunner)
}

// releasedRunner returns the address of the runner that a release starts beside the one in a place.
func (plan addressPlan) releasedRunner(zone, place int) string {
	return join(plan.ip(firstReleasedByte+zone, place+1), portRunner)
}

func join(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
