package instance

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/placement"
)

const (
	// roomLogInterval is the time between two log lines while requests wait for engines.
	roomLogInterval = time.Second
	// maxLoggedCustomers bounds the customers in a line.
	maxLoggedCustomers = 6
)

// roomLogger logs what waits for engines, as this instance sees it, while anything does. Set the
// exported fields before Run.
type roomLogger struct {
	Demand func(now time.Time) placement.Demand
	// AddFields adds what the parts of the instance know of scarce capacity.
	AddFields func(event *zerolog.Event, now time.Time) *zerolog.Event
	Log       zerolog.Logger
}

// Run logs a line every roomLogInterval in which requests wait, and one when none does any more.
func (logger *roomLogger) Run(ctx context.Context) error {
	for wasEmpty := true; clock.SleepContext(ctx, roomLogInterval); {
		now := time.Now()
		demand := logger.Demand(now)
		isEmpty := demand.IsEmpty()
		if !isEmpty || !wasEmpty {
			logger.log(&demand, now)
		}
		wasEmpty = isEmpty
	}
	return ctx.Err()
}

func (logger *roomLogger) log(demand *placement.Demand, now time.Time) {
	event := logger.Log.Info().
		Int("long", demand.Local.Prompts).Int("long_late", demand.Local.Late).Int("long_blocked", demand.Local.Blocked).
		Dur("long_prefill", demand.Local.PrefillTime).
		Int("fleet_long", demand.Fleet.Prompts).Int("fleet_long_late", demand.Fleet.Late).Dur("fleet_long_prefill", demand.Fleet.PrefillTime).
		Int("short", demand.LocalShort.OnTime).Int("short_late", demand.LocalShort.Late).
		Int("fleet_short", demand.FleetShort.OnTime).Int("fleet_short_late", demand.FleetShort.Late).
		Str("waiting", encodeCustomerDemand(demand.Customers)).Str("over_share", encodeCustomers(demand.CustomersOverShare()))
	logger.AddFields(event, now).Msg("room")
}

// addRoomFields adds what the instance's parts know of scarce capacity.
func (instance *Instance) addRoomFields(event *zerolog.Event, now time.Time) *zerolog.Event {
	return event.Int("peers", instance.loads.LivePeerCount(now)).Float64("capacity", instance.loads.LastPrefillCapacity()).
		Int("booked", len(instance.bookings.Expected(now))).Float64("retries_left", instance.retryBudget.Left(now))
}

// encodeCustomerDemand returns the first customers as CUSTOMER:MILLISECONDS, with commas between.
func encodeCustomerDemand(customers []placement.CustomerDemand) string {
	var entries []string
	for _, customer := range customers[:min(len(customers), maxLoggedCustomers)] {
		entries = append(entries, fmt.Sprintf("%08x:%d", customer.Customer, customer.PrefillTime.Milliseconds()))
	}
	return strings.Join(entries, ",")
}

func encodeCustomers(customers []placement.CustomerHash) string {
	var entries []string
	for _, customer := range customers[:min(len(customers), maxLoggedCustomers)] {
		entries = append(entries, fmt.Sprintf("%08x", customer))
	}
	return strings.Join(entries, ",")
}
