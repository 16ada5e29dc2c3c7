package telemetry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// DialResult is how a dial ended.
type DialResult uint8

// The results of dials.
const (
	DialConnected DialResult = iota
	DialRefused
	DialTimeout
	// DialCancelled: the caller of the dial no longer needed it.
	DialCancelled
	DialFailed
	dialResultCount
)

var dialTime [dialResultCount]*metrics.Histogram

func init() {
	for result, name := range [dialResultCount]string{"connected", "refused", "timeout", "cancelled", "failed"} {
		dialTime[result] = metrics.NewHistogram(fmt.Sprintf("peridotpath_dial_seconds{result=%q}", name))
	}
}

// RecordDial records how a dial ended and how long it took.
func RecordDial(result DialResult, span time.Duration) { dialTime[result].Update(span.Seconds()) }

var (
	dialsThroughPeers = metrics.NewCounter("peridotpath_dials_through_peers_total")
	tunnelsOpen       = metrics.NewCounter("peridotpath_tunnels_open")
	endsToldAfterCut  = metrics.NewCounter("peridotpath_ends_told_after_cut_total")
	callersFoundGone  = metrics.NewCounter("peridotpath_callers_found_gone_total")
)

// CountEndToldAfterCut counts a connection that was given up over a link that carried nothing, and
// whose end the endpoint was told once it answered again.
func CountEndToldAfterCut() { endsToldAfterCut.Inc() }

// CountCallerFoundGone counts a question before a send whose answer was that the caller has left.
func CountCallerFoundGone() { callersFoundGone.Inc() }

// CountDialThroughPeer counts a connection to an endpoint that a peer carries for this instance.
func CountDialThroughPeer() { dialsThroughPeers.Inc() }

// CountConnectionGivenUp counts a connection that this instance has closed before an answer, by how
// much of what was written to it had arrived.
func CountConnectionGivenUp(arrival string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_connections_given_up_total{arrived=%q}", arrival)).Inc()
}

// CountTunnel counts a connection that a peer has asked this instance to carry, by what came of
// it.
func CountTunnel(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_tunnels_total{result=%q}", result)).Inc()
}

// AddOpenTunnels adds to the number of connections that this instance carries for peers now.
func AddOpenTunnels(count int) { tunnelsOpen.Add(count) }
