// Package wire holds the messages that the processes of one fleet send to each other and the records that they store on
// disk: those of wire.proto, with the Go names that protoc-gen-go generates. Field numbers are never changed or reused.
package wire

//go:generate go run wardtray/tools/wiregen wire.proto
