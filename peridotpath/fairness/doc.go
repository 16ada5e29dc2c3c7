// Package fairness divides scarce engine time between customers. It matters when one customer
// sends several times what the engines can serve: without shares, the requests of all others
// wait behind the flood. A Ledger records the engine time that a customer's requests use, Judge
// computes weighted max-min shares and tells who is above its share, Line decides at once about
// a short prompt of such a customer, and ClassCounts finds size classes that are served too
// little. The package does no I/O and reads no clock.
package fairness
