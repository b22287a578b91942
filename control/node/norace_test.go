//go:build !race

package node

// intervalFactor multiplies the interval between the injection times that a test tries.
const intervalFactor = 1
