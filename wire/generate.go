// Package wire is what the processes of one fleet say to each other, and what they keep on disk: the messages of
// wire.proto, in the names that protoc-gen-go gives them.
package wire

//go:generate go run wardtray/tools/wiregen wire.proto
