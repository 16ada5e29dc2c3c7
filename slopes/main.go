// Command slopes measures on one machine what the parts of an instance cost:
// processor time, memory and bytes by the number of endpoints, peers, changes,
// customers and requests. It prints, for each, the straight line through the
// measured points with its errors; docs/CAPACITY.md reckons with these.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// rounds is how often each size is measured.
const rounds = 3

// experiment measures one cost at several sizes.
type experiment struct {
	// Name says what is measured, Unit what a result is in, Per what the sizes count.
	Name, Unit, Per string
	Sizes           []int
	// Measure returns the cost of the whole size.
	Measure func(size int) float64
}

func main() {
	experiments := [][]experiment{ownershipCosts(), digestCosts(), configCosts(), memberCosts(), customerCosts(), requestCosts()}
	fmt.Println("| cost | unit | per | sizes | intercept | slope | error of the slope | R² |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, group := range experiments {
		for i := range group {
			line, err := group[i].run()
			if err != nil {
				fmt.Fprintf(os.Stderr, "slopes: %s: %v\n", group[i].Name, err)
				os.Exit(1)
			}
			fmt.Println(line)
		}
	}
}

// run measures every size and returns a row of the table.
func (experiment *experiment) run() (string, error) {
	var sizes, costs []float64
	experiment.Measure(experiment.Sizes[0]) // warms caches and connections
	for range rounds {
		for _, size := range experiment.Sizes {
			sizes = append(sizes, float64(size))
			costs = append(costs, experiment.Measure(size))
		}
	}
	line, err := fit(sizes, costs)
	if err != nil {
		return "", err
	}
	names := strings.Trim(strings.ReplaceAll(fmt.Sprint(experiment.Sizes), " ", ", "), "[]")
	return fmt.Sprintf("| %s | %s | %s | %s | %.4g | %.4g | %.2g | %.4f |", experiment.Name, experiment.Unit,
		experiment.Per, names, line.Intercept, line.Slope, line.Error, line.RSquared), nil
}

// processorTime returns the processor time that work took, the collector's
// part included, in microseconds.
func processorTime(work func()) float64 {
	runtime.GC()
	before := used()
	work()
	return float64((used() - before).Nanoseconds()) / 1e3
}

func used() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapOf returns the bytes of heap that what build returns holds on to.
func heapOf(build func() any) float64 {
	before := heap()
	built := build()
	after := heap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
