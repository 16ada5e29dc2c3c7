package instance

import (
	"time"

	"peridotpath.example/peridotpath/booking"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/telemetry"
)

// admissionLogLinesPerSecond bounds the log lines about booked returns.
const admissionLogLinesPerSecond = 20

// createBookings creates the ledger of booked returns, which are announced to peers as facts.
func (instance *Instance) createBookings() {
	instance.bookings = &booking.Ledger{Announce: func(booked booking.Return, now time.Time) {
		instance.facts.Observe(booking.FactOf(booked, now))
	}}
	telemetry.SetAdmissionGauges(&telemetry.AdmissionGauges{
		BookedReturns:   func() float64 { return float64(len(instance.bookings.Expected(time.Now()))) },
		PrefillCapacity: instance.loads.LastPrefillCapacity,
	})
}

// receiveBooking stores the booking of a peer.
func (instance *Instance) receiveBooking(fact facts.Fact) {
	if booked, valid := booking.ReturnOf(fact); valid {
		instance.bookings.Receive(booked, time.Now())
	}
}
