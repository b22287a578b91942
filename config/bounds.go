package config

import "time"

// The bounds of the size of a document and of the length of its lists.
const (
	// MaximumBytes bounds the size of an encoded document or change.
	MaximumBytes = 16 << 20
	// MaximumRoutes bounds the number of routes of a document.
	MaximumRoutes = 50000
	// MaximumBackends bounds the number of backends of a document.
	MaximumBackends = 10000
	// MaximumZones bounds the number of zones of a document.
	MaximumZones = 64
	// MaximumTenants bounds the number of tenants of a document.
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
	// MinimumLatencyTarget is the smallest allowed Route.LatencyTarget.
	MinimumLatencyTarget = 10 * time.Millisecond
	// MaximumLatencyTarget is the greatest allowed Route.LatencyTarget.
	MaximumLatencyTarget = time.Hour
)

// The bounds of texts, in bytes.
const (
	maximumName      = 256
	maximumText      = 256
	maximumAuthority = 256
	maximumPath      = 1024
	maximumKey       = 1024
	// maximumAnnotations bounds the total size of the annotations of one entry.
	maximumAnnotations = 256 << 10
)
