package telemetry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// ConnectionEnd is why this process ended a client's connection.
type ConnectionEnd uint8

// The ends of connections. The first four make room for another connection or head.
const (
	// ConnectionRefused: all connections carry requests that have been received.
	ConnectionRefused ConnectionEnd = iota
	// ConnectionEndedIdle: it carried no request and had waited for longest.
	ConnectionEndedIdle
	// ConnectionEndedInHead: its head had been arriving for longest.
	ConnectionEndedInHead
	// ConnectionEndedInBody: its body had been arriving for longest.
	ConnectionEndedInBody
	// ConnectionHeadTooLarge: its head was over the limit of one head.
	ConnectionHeadTooLarge
	// ConnectionNoHeadMemory: there was no room for its head.
	ConnectionNoHeadMemory
	connectionEnds
)

var connectionEndNames = [connectionEnds]string{"refused", "idle", "in_head", "in_body", "head_too_large", "no_head_memory"}

// String returns the name in metrics and logs.
func (end ConnectionEnd) String() string { return connectionEndNames[end] }

// CountConnectionEnd counts a connection of a port's client that this process ended.
func CountConnectionEnd(port string, end ConnectionEnd) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_connections_ended_total{port=%q,reason=%q}", port, end)).Inc()
}

// ConnectionGauges are the functions that return the gauges of a port's connections on a scrape.
type ConnectionGauges struct {
	// Open returns the open connections, HeadMemory the memory that is kept for the heads of their
	// requests, in bytes.
	Open, HeadMemory func() float64
}

// connectionGauges holds the last gauges of each port.
var connectionGauges sync.Map

// SetConnectionGauges replaces the gauges of a port.
func SetConnectionGauges(port string, gauges *ConnectionGauges) {
	connectionGauges.Store(port, gauges)
	current := func() *ConnectionGauges {
		gauges, _ := connectionGauges.Load(port)
		return gauges.(*ConnectionGauges)
	}
	metrics.GetOrCreateGauge(fmt.Sprintf("peridotpath_connections_open{port=%q}", port), func() float64 { return current().Open() })
	metrics.GetOrCreateGauge(fmt.Sprintf("peridotpath_head_memory_bytes{port=%q}", port), func() float64 { return current().HeadMemory() })
}
