package relay_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/relay"
)

// budgetMachine is a few instances with their budgets, and all that they did.
type budgetMachine struct {
	now               time.Time
	budgets           []*relay.Budget
	replaced          []bool
	requests, repeats []time.Time
}

const (
	machineBudgets = 4
	machineRatio   = 0.2
	machineSlack   = 24
	machineWindow  = 10 * time.Second
)

func (machine *budgetMachine) newBudget() *relay.Budget {
	return &relay.Budget{Ratio: machineRatio, Slack: machineSlack, Window: machineWindow, Instances: func() int { return machineBudgets }}
}

func (machine *budgetMachine) wait(random *rapid.T) {
	machine.now = machine.now.Add(time.Duration(rapid.IntRange(1, 7000).Draw(random, "wait_ms")) * time.Millisecond)
}

func (machine *budgetMachine) serve(random *rapid.T) {
	budget := machine.budgets[rapid.IntRange(0, machineBudgets-1).Draw(random, "instance")]
	for range rapid.IntRange(1, 30).Draw(random, "requests") {
		budget.Note("llm", machine.now)
		machine.requests = append(machine.requests, machine.now)
	}
}

func (machine *budgetMachine) repeat(random *rapid.T) {
	budget := machine.budgets[rapid.IntRange(0, machineBudgets-1).Draw(random, "instance")]
	for range rapid.IntRange(1, 30).Draw(random, "wanted") {
		if budget.Spend("llm", machine.now) {
			machine.repeats = append(machine.repeats, machine.now)
		}
	}
}

// replace puts a new process in an instance's place; it knows nothing of what
// the one before has spent. Each is replaced once at most.
func (machine *budgetMachine) replace(random *rapid.T) {
	number := rapid.IntRange(0, machineBudgets-1).Draw(random, "instance")
	if machine.replaced[number] {
		random.Skip("replaced before")
	}
	machine.replaced[number] = true
	machine.budgets[number] = machine.newBudget()
}

// check holds the instances together to the bound: the repeats of a window
// against the requests of that window and the one before it, from which the
// first of them were earned.
func (machine *budgetMachine) check(random *rapid.T) {
	repeats := since(machine.repeats, machine.now.Add(-machineWindow))
	requests := since(machine.requests, machine.now.Add(-2*machineWindow))
	if allowed := machineRatio*float64(requests) + machineSlack; float64(repeats) > allowed {
		random.Fatalf("%d repeats in %s, allowed are %.1f for %d requests", repeats, machineWindow, allowed, requests)
	}
}

func since(times []time.Time, start time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(start) {
			count++
		}
	}
	return count
}

// An outage of some endpoints makes an overload of the others: every instance
// sends again what failed, and one that was just replaced begins from nothing.
// However requests, failures and replacements fall, the fleet keeps its bound.
func TestRandomBudgetsKeepTheBound(t *testing.T) {
	soak.Check(t, 5, func(random *rapid.T) {
		machine := &budgetMachine{now: time.Unix(1000, 0), replaced: make([]bool, machineBudgets)}
		for range machineBudgets {
			machine.budgets = append(machine.budgets, machine.newBudget())
		}
		random.Repeat(map[string]func(*rapid.T){
			"wait": machine.wait, "serve": machine.serve, "repeat": machine.repeat, "replace": machine.replace, "": machine.check,
		})
	})
}
