package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/reservation"
)

// Work is a request as the planner sees it.
type Work struct {
	Prompt, Answer peridotpath.Tokens
	// AnswerAim and PauseAim are when the first event and each next one are due.
	AnswerAim, PauseAim time.Duration
	// Waited is how long the request has been here, Left the time until the
	// caller stops waiting.
	Waited, Left time.Duration
	// Patience is the time until the caller leaves if no event has come; zero
	// where that is not known.
	Patience time.Duration
	// DataCentre is the instance's own.
	DataCentre peridotpath.DataCentre
}

// LastStart is the time until the caller leaves if the answer has not begun.
func (work *Work) LastStart() time.Duration {
	if work.Patience > 0 {
		return min(work.Left, work.Patience)
	}
	return work.Left
}

// Candidate is an endpoint that may take a request.
type Candidate struct {
	Endpoint *peridotpath.Endpoint
	Key      peridotpath.EndpointKey
	// Suspect says that it failed just now; it is taken when there is no other.
	Suspect bool
}

// Plan is where a request goes.
type Plan struct {
	// Writer answers the request and reads the first part of the prompt, Helpers
	// read the others.
	Writer  *peridotpath.Endpoint
	Helpers []*peridotpath.Endpoint
	// Reserve is the memory that is to be reserved at helpers, in the order of
	// Helpers, where the writer cannot hold the whole; empty otherwise.
	Reserve []reservation.Need
	// Memory is what the writer holds.
	Memory peridotpath.Tokens
	// Reading is how long each part takes, FirstEvent when the first event is due.
	Reading    time.Duration
	FirstEvent time.Duration
	// Ready is when the last of the engines begins to read.
	Ready time.Duration
	// Harm is what others lose by it; Loss is what the planner expects to lose, of what the request is worth
	// and of what others are.
	Harm, Loss float64
}

// Flight returns the plan as a request under way.
func (plan *Plan) Flight(work Work, now time.Time) Flight {
	parts := make([]Part, 0, 1+len(plan.Helpers))
	parts = append(parts, Part{Endpoint: plan.Writer.Key(), Reading: plan.Reading, Memory: plan.Memory})
	for i, helper := range plan.Helpers {
		part := Part{Endpoint: helper.Key(), Reading: plan.Reading}
		if i < len(plan.Reserve) {
			part.Memory = plan.Reserve[i].Tokens
		}
		parts = append(parts, part)
	}
	return Flight{Parts: parts, Prompt: work.Prompt, PauseAim: work.PauseAim, Sent: now}
}

const (
	// maxHelpers is how many engines may help one to read a prompt.
	maxHelpers = 16
	// maxWriters bounds the engines that are tried as the one that answers a prompt
	// that is spread: those with least against them. Each costs a plan for every
	// number of helpers, and one that waits for its turn is planned for a hundred
	// times a second.
	maxWriters = 16
	// suspectCost puts such an endpoint behind all others, in seconds.
	suspectCost = 60
	// spreadLeast is the reading time from which a prompt is spread: shorter ones
	// fit into the pauses of those who write at the same engine.
	spreadLeast = 100 * time.Millisecond
	// answerTrust is how much of the time that an answer would take, if it were as
	// long as its caller thinks, must be left: such estimates are right in the
	// middle and often twice too long.
	answerTrust = 0.5
)

// option is a candidate with what is known of it.
type option struct {
	Candidate
	load *Load
	// slots is how many requests the engine runs at once.
	slots int
	pass  time.Duration
	// ready is when it could begin to read.
	ready time.Duration
	// rank is the engine's place in an order that all instances agree on, chance one
	// that only this plan has, from 0 to 1.
	rank, chance float64
	// trust is how far what is known of the load may be relied on, from 0 to 1.
	trust float64
	// cost orders those that could read a part of the prompt at hand.
	cost float64
}

// delay is how much longer than others the engine takes for a reading of that span.
func (option *option) delay(span time.Duration) time.Duration {
	return time.Duration((option.load.Pace - 1) * float64(span))
}

// PlanPrompt chooses the engines for a prompt: those where the loss is least
// that it and those already there will have by being late. It returns false
// where no engine can take it before the caller stops waiting.
//
// The load that it is made for is one where short and long prompts come at
// once. A long prompt read at one engine keeps everything there waiting for
// seconds, first events and events alike; spread over the engines that write
// little it takes a fraction of a second, and short prompts keep to the others.
func PlanPrompt(model Model, work Work, candidates []Candidate, view View) (Plan, bool) {
	options := makeOptions(model, candidates, view)
	whole := model.ReadTime(work.Prompt)
	readers := orderReaders(options, whole)
	around := surroundings{arrivals: view.arrivals, readers: readers}
	best, found := Plan{}, false
	shared := noneFits(model, work, options)
	tried := 0
	for _, writer := range orderWriters(work, whole, readers) {
		if !shared && !fits(model, work, writer) {
			continue
		}
		if tried++; whole >= spreadLeast && tried > maxWriters {
			break
		}
		plan := bestSpread(model, work, whole, writer, around)
		plan.Memory = work.Prompt + work.Answer
		if shared && !plan.share(model, work, writer, readers) {
			continue
		}
		writing := model.WriteTime(work.Answer, max(writer.pass, model.Pass(1, work.Prompt)))
		if !inTime(plan, work, writing) {
			continue
		}
		if !found || plan.Loss < best.Loss {
			best, found = plan, true
		}
	}
	return best, found
}

// inTime reports whether the plan's answer begins before its caller leaves and can
// end before the caller's time is over. Prompts that are late anyway lose nothing
// more by being later, so that without the first of these all of them went to the
// few engines where nobody else could be harmed, and most callers left unanswered.
func inTime(plan Plan, work Work, writing time.Duration) bool {
	if work.Patience > 0 && plan.FirstEvent > work.Patience {
		return false
	}
	return plan.FirstEvent+time.Duration(answerTrust*float64(writing)) <= work.Left
}

// orderReaders returns the engines in the order in which they should read a part
// of the prompt: those first at which a part as long as a third of the whole
// begins soonest and does least harm, those that failed a moment ago last.
func orderReaders(options []option, whole time.Duration) []*option {
	readers := make([]*option, len(options))
	for i := range options {
		option := &options[i]
		option.cost = option.ready.Seconds() + option.delay(whole/3).Seconds() + harm(option, whole/3) + overtaken(option, whole/3)
		if option.Suspect {
			option.cost += suspectCost
		}
		readers[i] = option
	}
	slices.SortStableFunc(readers, func(a, b *option) int { return cmp.Compare(a.cost, b.cost) })
	return readers
}

// orderWriters returns the engines in the order of what speaks against each as
// the one that answers.
func orderWriters(work Work, whole time.Duration, readers []*option) []*option {
	worth := Value(work.Prompt)
	against := make(map[*option]float64, len(readers))
	for _, reader := range readers {
		first := work.Waited + reader.ready + whole/3 + reader.delay(whole/3)
		against[reader] = harm(reader, whole/3) + worth*(lateness(first, work.AnswerAim)+pauseRisk(work, reader)+placeLoss(work, reader))
	}
	writers := slices.Clone(readers)
	slices.SortStableFunc(writers, func(a, b *option) int { return cmp.Compare(against[a], against[b]) })
	return writers
}

func noneFits(model Model, work Work, options []option) bool {
	for i := range options {
		if fits(model, work, &options[i]) {
			return false
		}
	}
	return true
}

func makeOptions(model Model, candidates []Candidate, view View) []option {
	options := make([]option, 0, len(candidates))
	trust := view.trust()
	for _, candidate := range candidates {
		load := view.At(candidate.Key)
		pass := load.slowed(model.Pass(load.Writers, load.Context))
		ready := time.Duration(float64(load.Backlog)*load.Slow) + pass/2
		options = append(options, option{
			Candidate: candidate, load: load, slots: model.Rates.BatchSize, pass: pass, ready: ready,
			chance: rand.Float64(), trust: trust,
		})
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.Key, b.Key) })
	for i := range options {
		options[i].rank = float64(i) / float64(len(options))
	}
	return options
}

// surroundings is what a plan is made among.
type surroundings struct {
	// arrivals is the worth of the short prompts that come in a second.
	arrivals float64
	// readers are all engines, in the order in which they should read a part.
	readers []*option
}

// bestSpread returns the best plan with that writer: alone, or with as many
// helpers as lose least.
func bestSpread(model Model, work Work, whole time.Duration, writer *option, around surroundings) Plan {
	best := spread(model, work, whole, writer, nil)
	if whole < spreadLeast {
		return best
	}
	left := around.room()
	left.less(writer)
	best.crowd(around.arrivals, left)
	helpers := make([]*option, 0, maxHelpers)
	for _, reader := range around.readers {
		if reader == writer || reader.Suspect {
			continue
		}
		if len(helpers) == maxHelpers {
			break
		}
		helpers = append(helpers, reader)
		left.less(reader)
		plan := spread(model, work, whole, writer, helpers)
		if plan.crowd(around.arrivals, left); plan.Loss < best.Loss {
			best = plan
		}
	}
	return best
}

func spread(model Model, work Work, whole time.Duration, writer *option, helpers []*option) Plan {
	share := whole / time.Duration(1+len(helpers))
	ready, slow := writer.ready, writer.load.Slow
	harmed := harm(writer, share)
	for _, helper := range helpers {
		ready = max(ready, helper.ready)
		slow = max(slow, helper.load.Slow)
		harmed += harm(helper, share) + overtaken(helper, share)
	}
	reading := time.Duration(float64(share) * slow)
	if writer.load.Writers > 0 {
		// Each step that reads a chunk writes as well.
		steps := math.Ceil(float64(work.Prompt) / float64(1+len(helpers)) / float64(model.Rates.Chunk))
		reading += time.Duration(steps * float64(writer.pass) / float64(model.Rates.StepsPerPass))
	}
	first := ready + reading + writer.load.slowed(model.Pass(writer.load.Writers+1, writer.load.Context+work.Prompt))
	first += writer.slotWait(model, work)
	plan := Plan{Writer: writer.Endpoint, Reading: reading, FirstEvent: first, Ready: ready, Harm: harmed}
	worth := Value(work.Prompt)
	plan.Loss = harmed + worth*(lateness(work.Waited+first, work.AnswerAim)+pauseRisk(work, writer))
	plan.Loss += placeLoss(work, writer) * worth
	for _, helper := range helpers {
		plan.Helpers = append(plan.Helpers, helper.Endpoint)
	}
	return plan
}

// SoonestFree returns when the first of the endpoints will have read what waits
// there and has a slot free: before that, a request that came back would be refused
// again.
func SoonestFree(model Model, work Work, candidates []Candidate, view View) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, option := range makeOptions(model, candidates, view) {
		soonest = min(soonest, option.load.Backlog+option.slotWait(model, work))
	}
	if soonest == math.MaxInt64 {
		return 0
	}
	return soonest
}
