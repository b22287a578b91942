// Package wire contains the messages that the processes of one fleet send to each other and the records that they store
// on disk. The code is generated from wire.proto. Field numbers are never changed or reused.
package wire

//go:generate go run wardtray/tools/wiregen wire.proto
