package proposal

import "time"

// A request of an operator passes through several waits, one inside the other. Each must outlast the one inside it:
// otherwise its owner would give up on an answer that is about to come, and report an outcome as unknown that is known.
const (
	// acknowledgeTimeout is for how long the head waits until an entered change is delivered; then it answers that the
	// outcome is unknown.
	acknowledgeTimeout = 5 * time.Second
	// RequestTimeout is for how long the process where a request came in waits for the head's answer; then it answers
	// itself.
	RequestTimeout = acknowledgeTimeout + forwardMargin
	// ClientTimeout is for how long a client of the operators' API waits for the response of one process.
	ClientTimeout = RequestTimeout + clientMargin
	// ConnectionTimeout bounds reading a request from an operator's connection, and writing its response.
	ConnectionTimeout = ClientTimeout + connectionMargin
	// deferTimeout is for how long a request waits at the head for the moment at which it can be answered; its origin
	// sends it again meanwhile.
	deferTimeout = 2 * time.Second

	// forwardMargin is for the way to the head and back.
	forwardMargin = time.Second
	// clientMargin is for the client's connection, and for its request and the response on the way.
	clientMargin = 3 * time.Second
	// connectionMargin lets the client be the one that gives up.
	connectionMargin = time.Second
)
