package config

import "time"

// The bounds of a document and of the length of its lists.
const (
	// MaximumBytes bounds an encoded document, and a change of one.
	MaximumBytes = 16 << 20
	// MaximumRoutes bounds the routes of a document.
	MaximumRoutes = 50000
	// MaximumBackends bounds the backends of a document.
	MaximumBackends = 10000
	// MaximumZones bounds the zones of a document.
	MaximumZones = 64
	// MaximumTenants bounds the tenants of a document.
	MaximumTenants = 10000

	maximumServices = 64
	maximumAdapters = 1024
	maximumShares   = 64
	maximumKeys     = 10000
)

// The bounds of numbers.
const (
	// MaximumAttempts bounds Route.Attempts.
	MaximumAttempts = 1000
	// MaximumRank bounds the ranks of routes and tenants.
	MaximumRank = 1000
	// MaximumWeight bounds Share.Weight.
	MaximumWeight = 1_000_000
	// MaximumConnections bounds the connection limit of a backend.
	MaximumConnections = 1_000_000
	// MaximumSlots bounds Engine.Slots and Engine.EventTokens.
	MaximumSlots = 1_000_000
	// MaximumTokens bounds other counts of tokens.
	MaximumTokens = 1 << 40
	// MaximumHeaderBytes bounds Limits.HeaderBytes.
	MaximumHeaderBytes = 1 << 20
	// MaximumBodyBytes bounds Limits.BodyBytes.
	MaximumBodyBytes = 1 << 30
	// MaximumQuota bounds the rate and the burst of a quota.
	MaximumQuota = 1e15

	minimumValue            = 1
	maximumValue            = 1000
	maximumConcurrencyLimit = 1
)

// The bounds of durations.
const (
	// MaximumSpan bounds every duration without a bound of its own.
	MaximumSpan = 24 * time.Hour
	// MinimumLatencyTarget is the least Route.LatencyTarget.
	MinimumLatencyTarget = 10 * time.Millisecond
	// MaximumLatencyTarget is the greatest Route.LatencyTarget.
	MaximumLatencyTarget = time.Hour
)

// The bounds of texts, in bytes.
const (
	maximumName      = 256
	maximumText      = 256
	maximumAuthority = 256
	maximumPath      = 1024
	maximumKey       = 1024
	// maximumAnnotations bounds the annotations of one entry together.
	maximumAnnotations = 256 << 10
)
