package wire

//go:generate go run wardtray/tools/wiregen wire.proto
