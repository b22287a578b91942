package reservation

import (
	"testing"

	"wardtray/wire"
)

// BenchmarkReserve measures the cost of a first attempt at its daemon and at one replica, without the delivery of
// messages.
func BenchmarkReserve(b *testing.B) {
	var fleet *testFleet
	b.ReportAllocs()
	for number := range b.N {
		// The fleet is replaced before a replica is full: a refusal by a full replica takes a different code path.
		if number%MaximumReservations == 0 {
			b.StopTimer()
			fleet = newTestFleet(b, 1, 4)
			b.StartTimer()
		}
		daemon, replica := fleet.daemons[0], fleet.daemons[1].replica
		attempt := daemon.firstAttempt()
		reservation := daemon.coordinator.Reserve(fleet.now, testKey(number%MaximumReservations), attempt)
		messages, _ := daemon.outbox.Drain()
		for _, message := range messages {
			response := replica.Reserve(fleet.now, message.Envelope.GetReservationRequest())
			response.Outcome = wire.ReservationOutcome_RESERVATION_GRANTED
			daemon.coordinator.HandleResponse(fleet.now, message.To, response)
		}
		daemon.coordinator.Finish(reservation)
	}
}
