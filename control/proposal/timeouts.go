package proposal

import "time"

// The timeouts of an operator's request are nested, and each must exceed the one inside it. Otherwise the outer one
// would expire while a reply is on its way, and a known outcome would be reported as unknown.
const (
	// acknowledgeTimeout is the time for which the head waits for the delivery of a submitted change before it replies
	// that the outcome is unknown.
	acknowledgeTimeout = 5 * time.Second
	// RequestTimeout is the time for which the process that received a request waits for the head's response before it
	// replies by itself.
	RequestTimeout = acknowledgeTimeout + forwardMargin
	// ClientTimeout is the time for which a client of the operators' API waits for the response of one process.
	ClientTimeout = RequestTimeout + clientMargin
	// ConnectionTimeout bounds reading a request from an operator's connection, and writing its response.
	ConnectionTimeout = ClientTimeout + connectionMargin
	// deferTimeout is the time for which a request stays deferred at the head; its origin resends it meanwhile.
	deferTimeout = 2 * time.Second

	// forwardMargin allows for the round trip to the head.
	forwardMargin = time.Second
	// clientMargin allows for the client's connection setup, and the transmission of its request and of the response.
	clientMargin = 3 * time.Second
	// connectionMargin makes the client time out before the server closes the connection.
	connectionMargin = time.Second
)
