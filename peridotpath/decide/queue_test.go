package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
)

// One airline files thousands of dossiers; the counter staff of another wait
// behind them although they sent three. While both have work waiting, each is
// served the tokens of its share, whatever the lengths and the order of arrival.
func TestQueueServesSharesInTokens(t *testing.T) {
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
				queue.push(&Work{customer: customer, Prompt: peridotpath.Tokens(prompt)})
			}
		}
		var sum float64
		for range 40 * int(total) / int(min(total, 8)) {
			work := queue.head()
			queue.serve(work)
			served[customers[work.customer]] += float64(work.Prompt)
			sum += float64(work.Prompt)
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

// Within a customer the earliest deadline goes first, and the queue's sums
// follow every way out of it.
func TestQueueKeepsDeadlinesAndSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := &queue{class: peridotpath.Short}
		only := &customer{}
		only.weight.Store(1)
		var held []*Work
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				work := &Work{customer: only, Prompt: peridotpath.Tokens(rapid.Int64Range(1, 7_999).Draw(t, "prompt"))}
				work.Deadline = after(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second)
				queue.push(work)
				held = append(held, work)
			case 1:
				work := queue.head()
				if (work == nil) != (len(held) == 0) {
					t.Fatalf("head is %v with %d waiting", work, len(held))
				}
				if work == nil {
					continue
				}
				for _, other := range held {
					if other.Deadline.Before(work.Deadline) {
						t.Fatalf("%v goes before %v", work.Deadline, other.Deadline)
					}
				}
				queue.serve(work)
				held = drop(held, work)
			case 2:
				if len(held) > 0 {
					work := held[rapid.IntRange(0, len(held)-1).Draw(t, "removed")]
					queue.remove(work)
					held = drop(held, work)
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

func drop(works []*Work, dropped *Work) []*Work {
	var kept []*Work
	for _, work := range works {
		if work != dropped {
			kept = append(kept, work)
		}
	}
	return kept
}

// The subset for long work grows with demand at once and shrinks slowly, so
// that noise in the demand does not send long work to ever new endpoints.
func TestSubsetFollowsDemandWithHysteresis(t *testing.T) {
	is := is.New(t)
	subset := &subset{}
	steps := []struct {
		at     time.Duration
		demand float64 // in endpoints
		want   int
	}{
		{0, 0, 1},
		{time.Second, 1.4, 3},
		{2 * time.Second, 1.1, 3}, // still above subsetShrink of two
		{subsetRest + 3*time.Second, 0.9, 2},
		{subsetRest + 4*time.Second, 0.1, 2}, // not so soon again
		{2*subsetRest + 5*time.Second, 0.1, 1},
		{9 * subsetRest, 0, 1}, // never none
		{9*subsetRest + time.Second, 99, 5},
	}
	for _, step := range steps {
		subset.resize(after(step.at).UnixNano(), step.demand, 5)
		is.Equal(subset.size, step.want)
	}
}

// Instances choose the same endpoints without a word between them, and losing
// one endpoint moves no other.
func TestSubsetIsTheSameEverywhere(t *testing.T) {
	is := is.New(t)
	here, there := schedulerOf(20), schedulerOf(20)
	there.SetEndpoints(epoch, endpointsOf(20)[1:])
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
