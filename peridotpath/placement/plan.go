package placement

import (
	"cmp"
	"math"
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
	// maxHolders bounds the helpers that hold a part of a prompt's memory: every
	// one of them can fail, and with it the prompt.
	maxHolders = 6
	// LateLoss is the part of an answer's worth that is lost when it is late:
	// the users hold a late answer at a quarter to a third of a timely one.
	LateLoss = 0.75
	// soonEnough and tooLate bound, as parts of the aim, the predicted time in
	// which an answer goes from surely timely to surely late. The first leaves
	// room for what the prediction misses.
	soonEnough = 0.6
	tooLate    = 1.1
	// slopeLoss prefers the sooner of two that are both in time or both late.
	slopeLoss = 0.02
	// farLoss is what another data centre costs: bytes between them are priced.
	farLoss = 0.008
	// suspectLoss keeps requests from an endpoint that failed a moment ago.
	suspectLoss = 0.9
	// suspectCost puts such an endpoint behind all others, in seconds.
	suspectCost = 60
	// freshLoss is what it costs to put the first writer on an engine. One that
	// writes nothing can read long prompts at any time; writers are packed, so
	// that such engines remain.
	freshLoss = 0.03
	// packLoss is what it costs, for each part of an engine's slots that is free, to
	// put a writer there: writers fill some engines up and leave others to long
	// prompts. At twice this price more short prompts are late for want of slots.
	packLoss = 0.03
	// orderLoss makes all instances try the engines in the same order.
	orderLoss = 0.002
	// slotWait is about how long a request waits where all slots are taken, for
	// each that waits before it: the time in which one of a full batch ends.
	slotWait = 100 * time.Millisecond
	// queueTolerance is the share of the aim for pauses that a pass may take.
	queueTolerance = 0.9
	// spreadLeast is the reading time from which a prompt is spread: shorter ones
	// fit into the pauses of those who write at the same engine.
	spreadLeast = 100 * time.Millisecond
	// roomReady is how soon an engine must be able to read for a short prompt to be
	// on time there: half of the shortest aim that users have.
	roomReady = 150 * time.Millisecond
	// shortWrite is about how long a short answer is written: 33 events at 50 ms.
	shortWrite = 1700 * time.Millisecond
	// overtakeLoss is what a waiting prompt loses, a second, by readings that
	// overtake it, as a part of its worth.
	overtakeLoss = 0.2
	// answerTrust is how much of the time that an answer would take, if it were as
	// long as its caller thinks, must be left: such estimates are right in the
	// middle and often twice too long.
	answerTrust = 0.5
	// memoryTolerance is how much of an engine's memory may be promised. Answers
	// longer than predicted would take the rest and push out whole requests.
	memoryTolerance = 0.97
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
	rank  float64
	// cost orders those that could read a part of the prompt at hand.
	cost float64
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
		option.cost = option.ready.Seconds() + harm(option, whole/3) + overtaken(option, whole/3)
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
		first := work.Waited + reader.ready + whole/3
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
	for _, candidate := range candidates {
		load := view.At(candidate.Key)
		pass := model.Pass(load.Writers, load.Context)
		ready := time.Duration(float64(load.Backlog)*load.Slow) + pass/2
		options = append(options, option{Candidate: candidate, load: load, slots: model.Rates.BatchSize, pass: pass, ready: ready})
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.Key, b.Key) })
	for i := range options {
		options[i].rank = float64(i) / float64(len(options))
	}
	return options
}

// fits reports whether the engine has memory for the whole request.
func fits(model Model, work Work, writer *option) bool {
	return work.Prompt+work.Answer <= free(model, writer)
}

// free is the memory of an engine that is promised to nobody.
func free(model Model, at *option) peridotpath.Tokens {
	return peridotpath.Tokens(memoryTolerance*float64(model.Rates.KVTokens)) - at.load.Memory
}

// share spreads the memory of a prompt that no engine can hold: in even parts
// over the writer and as few helpers as have room. It reports whether they have.
func (plan *Plan) share(model Model, work Work, writer *option, readers []*option) bool {
	need := work.Prompt + work.Answer
	var holders []*option
	for _, reader := range readers {
		if slices.Contains(plan.Helpers, reader.Endpoint) {
			holders = append(holders, reader)
		}
	}
	slices.SortStableFunc(holders, func(a, b *option) int { return cmp.Compare(free(model, b), free(model, a)) })
	for count := 1; count <= min(len(holders), maxHolders); count++ {
		part := need/peridotpath.Tokens(1+count) + 1
		if free(model, writer) >= part && free(model, holders[count-1]) >= part {
			plan.hold(holders, count, part)
			return true
		}
	}
	return false
}

// hold notes which helpers hold a part of the memory; these go first.
func (plan *Plan) hold(holders []*option, count int, part peridotpath.Tokens) {
	plan.Helpers = plan.Helpers[:0]
	plan.Reserve = nil
	for i, holder := range holders {
		plan.Helpers = append(plan.Helpers, holder.Endpoint)
		if i < count {
			plan.Reserve = append(plan.Reserve, reservation.Need{Endpoint: holder.Endpoint, Tokens: part})
		}
	}
	plan.Memory = part
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

// room is what engines that read no long prompt have left for short ones.
type room struct {
	free, writers int
}

// room adds up all engines.
func (around *surroundings) room() room {
	var all room
	for _, reader := range around.readers {
		all.free += reader.free()
		all.writers += reader.load.Writers
	}
	return all
}

// less takes an engine out.
func (room *room) less(reader *option) {
	room.free -= reader.free()
	room.writers -= reader.load.Writers
}

// free is how many short prompts more the engine could take at once, none while
// it reads for too long for them to be on time.
func (option *option) free() int {
	if option.ready > roomReady {
		return 0
	}
	return max(option.slots-option.load.Taken(), 0)
}

// crowd adds to the plan what short prompts lose that will come while it is read
// and find no engine that does not read.
//
// The load that this is made for is the moment after all instances have started
// anew, when nobody writes yet and everybody comes back: a prompt of 300,000 tokens
// harmed nobody, was spread over all fifteen engines, and the next hundred short
// prompts waited for 0.7 s, though it had time enough for half as many engines.
func (plan *Plan) crowd(arrivals float64, left room) {
	span := plan.FirstEvent.Seconds()
	places := float64(left.free) + float64(left.writers)*span/shortWrite.Seconds()
	lost := LateLoss * max(0, arrivals*span-places)
	plan.Harm += lost
	plan.Loss += lost
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
	first := ready + reading + model.Pass(writer.load.Writers+1, writer.load.Context+work.Prompt)
	if over := writer.load.Taken() + 1 - model.Rates.BatchSize; over > 0 {
		first += time.Duration(over) * slotWait
	}
	plan := Plan{Writer: writer.Endpoint, Reading: reading, FirstEvent: first, Ready: ready, Harm: harmed}
	worth := Value(work.Prompt)
	plan.Loss = harmed + worth*(lateness(work.Waited+first, work.AnswerAim)+pauseRisk(work, writer))
	plan.Loss += placeLoss(work, writer) * worth
	for _, helper := range helpers {
		plan.Helpers = append(plan.Helpers, helper.Endpoint)
	}
	return plan
}

// lateness is the part of its worth that an answer is expected to lose.
func lateness(first, aim time.Duration) float64 {
	if aim <= 0 {
		return 0
	}
	share := float64(first) / float64(aim)
	late := min(max((share-soonEnough)/(tooLate-soonEnough), 0), 1)
	return LateLoss*late + slopeLoss*share
}

// pauseRisk is what the answer itself loses where reads that wait at the writer
// will make a pause too long.
func pauseRisk(work Work, writer *option) float64 {
	if work.PauseAim == 0 {
		return 0
	}
	if writer.load.LongestRead+writer.pass > time.Duration(queueTolerance*float64(work.PauseAim)) {
		return LateLoss / 2
	}
	return 0
}

// harm is what those lose who write at the engine when a reading of that span
// comes on top of those that wait there: all of them fall into one pause.
func harm(at *option, span time.Duration) float64 {
	before := at.pass + at.load.Backlog
	after := before + span
	lost := 0.0
	for _, pause := range at.load.pauses {
		limit := time.Duration(queueTolerance * float64(pause.aim))
		if pause.aim > 0 && before <= limit && after > limit {
			lost += LateLoss * pause.value
		}
	}
	return lost
}

// overtaken is what prompts lose that wait to be read where they will be
// answered: engines read the parts of others' prompts first.
func overtaken(at *option, span time.Duration) float64 {
	return overtakeLoss * span.Seconds() * at.load.unreadValue
}

// placeLoss is what speaks against an engine for itself.
func placeLoss(work Work, writer *option) float64 {
	loss := orderLoss * writer.rank
	if writer.Endpoint.DataCentre != work.DataCentre {
		loss += farLoss
	}
	if writer.Suspect {
		loss += suspectLoss
	}
	if writer.load.Taken() == 0 {
		loss += freshLoss
	}
	if free := writer.slots - writer.load.Taken(); free > 0 {
		loss += packLoss * float64(free) / float64(writer.slots)
	}
	return loss
}

// SoonestFree returns when the first of the endpoints will have read what waits
// there: before that, a request that came back would be refused again.
func SoonestFree(candidates []Candidate, view View) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, candidate := range candidates {
		soonest = min(soonest, view.At(candidate.Key).Backlog)
	}
	if soonest == math.MaxInt64 {
		return 0
	}
	return soonest
}
