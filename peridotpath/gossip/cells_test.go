package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/cell"
)

// Machines join, and the fleet is divided anew: those that had learnt of it told
// only their new cell, while the others, which had not, still sent to the engines of
// both and took them for free. Later machines leave, and an instance used the engines
// of a cell of which it had heard nothing yet.
func TestCellsChangeTogether(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.1:1")
	two, four := cell.Of(address, 150), cell.Of(address, 250)
	is.Equal(two.Count(), 2)
	is.Equal(four.Count(), 4)
	began := time.Now()
	var cells cells
	is.True(cells.divide(two, began))
	is.Equal(cells.Used(), two)
	is.Equal(cells.told, two) // one that starts waits for nothing

	joined := began.Add(20 * time.Second)
	is.True(cells.divide(four, joined))
	is.Equal(cells.Used(), four) // all of it was known before
	is.Equal(cells.told, two)    // some still use it
	is.True(!cells.divide(four, joined.Add(6*time.Second)))
	is.Equal(cells.told, two)
	cells.divide(four, joined.Add(9*time.Second))
	is.Equal(cells.told, four)

	left := joined.Add(30 * time.Second)
	is.True(cells.divide(two, left))
	is.Equal(cells.Used(), four) // the rest is not known yet
	is.Equal(cells.told, two)
	cells.divide(two, left.Add(9*time.Second))
	is.Equal(cells.Used(), two)

	// Back and forth within seconds: nobody is told too little, nothing is used unknown.
	cells.divide(four, left.Add(30*time.Second))
	cells.divide(two, left.Add(32*time.Second))
	is.Equal(cells.Used(), four)
	is.Equal(cells.told, two)
}
