package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
)

// While customers have work queued, each is served its weighted share of the
// tokens, for any lengths and order of arrival. Otherwise a customer with a few
// requests waits behind another one's thousands.
func TestQueueServesWeightedSharesInTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := &queue{class: peridotpath.Medium}
		weights := rapid.SliceOfN(rapid.Int64Range(1, 5), 2, 5).Draw(t, "weights")
		served := make([]float64, len(weights))
		customers := map[*customer]int{}
		var total int64
		for i, weight := range weights {
			customer := &customer{id: peridotpath.CustomerID(fmt.Sprint(i))}
			customer.weight.Store(weight)
			customers[customer] = i
			total += weight
			for range 400 {
				prompt := rapid.Int64Range(8_000, 99_999).Draw(t, "prompt")
				queue.push(&Work{customer: customer, PromptTokens: peridotpath.Tokens(prompt)})
			}
		}
		var sum float64
		for range 40 * int(total) / int(min(total, 8)) {
			work := queue.head()
			queue.dequeue(work)
			served[customers[work.customer]] += float64(work.PromptTokens)
			sum += float64(work.PromptTokens)
		}
		for i, weight := range weights {
			share := sum * float64(weight) / float64(total)
			slack := float64(2*quantum[peridotpath.Medium]*weight) + float64(peridotpath.LongFrom)
			if served[i] < share-slack-float64(total)*float64(quantum[peridotpath.Medium]) || served[i] > share+slack {
				t.Fatalf("customer %d was served %.0f, its share is %.0f", i, served[i], share)
			}
		}
	})
}

// Within a customer the earliest deadline is served first, and the counters of
// the queue are correct after each kind of removal.
func TestQueueOrderAndCounters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := &queue{class: peridotpath.Short}
		only := &customer{}
		only.weight.Store(1)
		var held []*Work
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				work := &Work{customer: only, PromptTokens: peridotpath.Tokens(rapid.Int64Range(1, 7_999).Draw(t, "prompt"))}
				work.Deadline = sinceEpoch(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second)
				queue.push(work)
				held = append(held, work)
			case 1:
				work := queue.head()
				if (work == nil) != (len(held) == 0) {
					t.Fatalf("head is %v with %d queued", work, len(held))
				}
				if work == nil {
					continue
				}
				for _, other := range held {
					if other.Deadline.Before(work.Deadline) {
						t.Fatalf("deadline %v is served before %v", work.Deadline, other.Deadline)
					}
				}
				queue.dequeue(work)
				held = without(held, work)
			case 2:
				if len(held) > 0 {
					work := held[rapid.IntRange(0, len(held)-1).Draw(t, "removed")]
					queue.remove(work)
					held = without(held, work)
				}
			}
			var tokens int64
			for _, work := range held {
				tokens += work.cost()
			}
			if queue.count != len(held) || queue.tokens != tokens {
				t.Fatalf("count %d tokens %d, want %d %d", queue.count, queue.tokens, len(held), tokens)
			}
		}
	})
}

func without(works []*Work, dropped *Work) []*Work {
	var kept []*Work
	for _, work := range works {
		if work != dropped {
			kept = append(kept, work)
		}
	}
	return kept
}

// The subset for long work grows with demand at once and shrinks slowly, so that
// random variation of the demand does not move long work between endpoints.
func TestSubsetResizesWithHysteresis(t *testing.T) {
	is := is.New(t)
	subset := &subset{}
	steps := []struct {
		at     time.Duration
		demand float64 // in endpoints
		want   int
	}{
		{0, 0, 1},
		{time.Second, 1.4, 3},
		{2 * time.Second, 1.1, 3}, // still above subsetShrinkLoad of two
		{minShrinkInterval + 3*time.Second, 0.9, 2},
		{minShrinkInterval + 4*time.Second, 0.1, 2}, // within minShrinkInterval of the last shrink
		{2*minShrinkInterval + 5*time.Second, 0.1, 1},
		{9 * minShrinkInterval, 0, 1}, // at least one
		{9*minShrinkInterval + time.Second, 99, 5},
	}
	for _, step := range steps {
		subset.resize(sinceEpoch(step.at).UnixNano(), step.demand, 5)
		is.Equal(subset.size, step.want)
	}
}

// Instances select the same subset without coordination, and the removal of one
// endpoint replaces at most one member.
func TestSubsetIsConsistentAcrossInstances(t *testing.T) {
	is := is.New(t)
	here, there := newScheduler(20), newScheduler(20)
	there.SetEndpoints(epoch, newEndpoints(20)[1:])
	choose := func(scheduler *Scheduler) map[peridotpath.EndpointID]bool {
		subset := &subset{size: 6}
		chosen := map[peridotpath.EndpointID]bool{}
		for _, member := range subset.split((*scheduler.groups.Load())["model"].pools.Load().all).long {
			chosen[member.ID] = true
		}
		return chosen
	}
	a, b := choose(here), choose(there)
	different := 0
	for id := range a {
		if !b[id] {
			different++
		}
	}
	is.True(different <= 1)
}
