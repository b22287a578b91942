package reservation

import (
	"testing"

	"wardtray/wire"
)

// BenchmarkReserve is what a first sending costs its daemon and one replica, without the messages' way.
func BenchmarkReserve(b *testing.B) {
	var fleet *testFleet
	b.ReportAllocs()
	for number := range b.N {
		// What is full refuses, which is not what is measured.
		if number%Limit == 0 {
			b.StopTimer()
			fleet = newTestFleet(b, 1, 4)
			b.StartTimer()
		}
		daemon, replica := fleet.daemons[0], fleet.daemons[1].replica
		sending := daemon.first()
		made := daemon.coordinator.Reserve(fleet.now, testKey(number%Limit), sending)
		messages, _ := daemon.outbox.Drain()
		for _, message := range messages {
			response := replica.Reserve(fleet.now, message.Envelope.GetReservationRequest())
			response.Outcome = wire.ReservationOutcome_RESERVATION_GRANTED
			daemon.coordinator.HandleResponse(fleet.now, message.To, response)
		}
		daemon.coordinator.Finish(made)
	}
}
