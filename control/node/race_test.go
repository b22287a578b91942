//go:build race

package node

// slowness is how much further apart the moments of a test are that tries very many.
const slowness = 12
