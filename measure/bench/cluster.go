package bench

import (
	"fmt"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
)

const (
	reportEvery = 250 * time.Millisecond
	// membershipLag is how long the membership list shows a dead endpoint.
	membershipLag = 5 * time.Second
	// faultAt is when endpoints and instances are lost.
	faultAt = 150 * time.Second
	// replaceAfter is when a lost instance is back, with no memory.
	replaceAfter = 10 * time.Second
)

// cluster is one run: instances that decide separately, and fake engines.
type cluster struct {
	clock     clock
	load      *Load
	policy    Policy
	engines   []*engine
	byID      map[peridotpath.EndpointID]*engine
	endpoints []peridotpath.Endpoint
	instances []*instance
	make      func(int) *decider
	customers []*peridotpath.Customer
	requests  []*request
	capacity  float64 // of one engine, see Load.capacity
	attempts  int
	prefilled float64 // tokens, while arrivals were counted
	imbalance float64 // sum over samples, see sample
	samples   int
}

// instance is one decider with the requests it answers for.
type instance struct {
	cluster *cluster
	number  int
	decider *decider
	dead    bool
	wake    time.Time
	works   map[*decide.Work]*request
	order   []*request // of arrival
}

// request is a caller's request and what became of it.
type request struct {
	arrival  *arrival
	returned bool // this is the second coming of a refused one
	begun    time.Time
	work     *decide.Work
	instance *instance
	job      *job
	waited   bool // admitted to a queue
	placed   bool
	final    bool
	finished bool
	code     peridotpath.Code
	ttft     time.Duration
	ended    time.Duration // since the beginning of the run
	again    *request
}

var epoch = time.Unix(1_000_000, 0).UTC()

// run runs arrivals through the policy.
func run(load *Load, policy Policy, arrivals []arrival, seed uint64) *cluster {
	cluster := &cluster{load: load, policy: policy, byID: map[peridotpath.EndpointID]*engine{}}
	cluster.clock.now = epoch
	cluster.customers = load.customers()
	cluster.make = policy.build(load.Deployment, seed)
	cluster.addEngines()
	for number := range load.Deployment.Instances {
		cluster.instances = append(cluster.instances, cluster.start(number))
	}
	cluster.clock.after(0, func() { cluster.reports(1) })
	cluster.planFaults()
	cluster.planArrivals(arrivals)
	cluster.clock.runUntil(epoch.Add(warmUp))
	before := cluster.totalPrefilled()
	cluster.clock.runUntil(epoch.Add(arrivalsTime))
	cluster.prefilled = cluster.totalPrefilled() - before
	cluster.clock.runUntil(epoch.Add(arrivalsTime + drainTime))
	return cluster
}

// planArrivals plans the first of the arrivals, which plans the next.
func (cluster *cluster) planArrivals(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	cluster.clock.at(epoch.Add(arrivals[0].at), func() {
		cluster.planArrivals(arrivals[1:])
		cluster.arrive(&arrivals[0], nil)
	})
}

func (cluster *cluster) addEngines() {
	for i := range cluster.load.Deployment.Endpoints {
		id := peridotpath.EndpointID(fmt.Sprintf("endpoint-%02d", i))
		engine := &engine{clock: &cluster.clock, id: id, slow: 1}
		if i == 0 && cluster.load.SlowFactor > 0 {
			engine.slow = cluster.load.SlowFactor
		}
		engine.failFast = i == 1 && cluster.load.FailFast
		cluster.engines = append(cluster.engines, engine)
		cluster.byID[id] = engine
		cluster.endpoints = append(cluster.endpoints, peridotpath.Endpoint{
			ID: id, Service: "model", Kind: peridotpath.KindEngine, State: peridotpath.StateLive, KVTokens: engineKV,
		})
	}
}

func (cluster *cluster) totalPrefilled() float64 {
	var sum int64
	for _, engine := range cluster.engines {
		sum += engine.prefilled
	}
	return float64(sum)
}

func (cluster *cluster) start(number int) *instance {
	instance := &instance{
		cluster: cluster, number: number, decider: cluster.make(number), works: map[*decide.Work]*request{},
	}
	instance.decider.setEndpoints(cluster.clock.now, cluster.endpoints)
	return instance
}

// reports sends every engine's load to every instance, after the lag.
func (cluster *cluster) reports(revision uint64) {
	if cluster.clock.now.After(epoch.Add(arrivalsTime + drainTime)) {
		return
	}
	loads := make([]peridotpath.Load, len(cluster.engines))
	for i, engine := range cluster.engines {
		loads[i] = engine.load(revision)
	}
	cluster.sample(loads)
	cluster.clock.after(cluster.load.ReportLag, func() { cluster.deliver(loads) })
	cluster.clock.after(reportEvery, func() { cluster.reports(revision + 1) })
}

func (cluster *cluster) deliver(loads []peridotpath.Load) {
	for _, instance := range cluster.instances {
		if instance.dead {
			continue
		}
		for i, load := range loads {
			if !cluster.engines[i].dead {
				instance.decider.report(cluster.clock.now, cluster.engines[i].id, load)
			}
		}
		instance.advance()
	}
}

func (cluster *cluster) planFaults() {
	if cluster.load.LostShare > 0 {
		cluster.clock.after(faultAt, cluster.loseEngines)
		cluster.clock.after(faultAt+membershipLag, cluster.updateMembership)
	}
	for number := range cluster.load.Replaced {
		cluster.clock.after(faultAt, func() { cluster.instances[number].die() })
		cluster.clock.after(faultAt+replaceAfter, func() { cluster.instances[number] = cluster.start(number) })
	}
}

func (cluster *cluster) loseEngines() {
	lost := int(float64(len(cluster.engines)) * cluster.load.LostShare)
	for _, engine := range cluster.engines[len(cluster.engines)-lost:] {
		engine.die()
	}
}

func (cluster *cluster) updateMembership() {
	var live []peridotpath.Endpoint
	for _, endpoint := range cluster.endpoints {
		if !cluster.byID[endpoint.ID].dead {
			live = append(live, endpoint)
		}
	}
	cluster.endpoints = live
	for _, instance := range cluster.instances {
		instance.decider.setEndpoints(cluster.clock.now, live)
		instance.advance()
	}
}

// arrive brings a request to the instance that the balancer picks.
func (cluster *cluster) arrive(arrival *arrival, first *request) {
	var live []*instance
	for _, instance := range cluster.instances {
		if !instance.dead {
			live = append(live, instance)
		}
	}
	pick := arrival.balancer
	if first != nil {
		pick /= 1024
	}
	profile := profiles[arrival.class]
	now := cluster.clock.now
	request := &request{arrival: arrival, begun: now, instance: live[pick%uint64(len(live))], returned: first != nil}
	request.work = &decide.Work{
		Customer:        cluster.customers[arrival.customer],
		Profile:         profile,
		Class:           peridotpath.ClassOf(peridotpath.Tokens(arrival.estimate), 0),
		PromptTokens:    peridotpath.Tokens(arrival.estimate),
		MaxOutputTokens: peridotpath.Tokens(arrival.bound),
		Prefixes:        arrival.prefixes,
		ArrivedAt:       now,
		Deadline:        now.Add(profile.DeadlineMS.Duration()),
	}
	if first != nil {
		first.again = request
	} else {
		cluster.requests = append(cluster.requests, request)
	}
	request.instance.submit(request)
}

func (instance *instance) submit(request *request) {
	instance.works[request.work] = request
	instance.order = append(instance.order, request)
	instance.cluster.clock.at(request.work.Deadline, func() { instance.timeOut(request) })
	instance.handle(instance.decider.submit(instance.cluster.clock.now, request.work))
	instance.advance()
}

// advance asks for decisions about waiting work, and plans the next time.
func (instance *instance) advance() {
	if instance.dead {
		return
	}
	now := instance.cluster.clock.now
	for _, decision := range instance.decider.advance(now) {
		instance.cluster.handle(decision, instance)
	}
	next := instance.decider.next()
	if next.IsZero() || next.Equal(instance.wake) {
		return
	}
	instance.wake = next
	instance.cluster.clock.at(next, func() {
		if instance.wake.Equal(next) {
			instance.wake = time.Time{}
			instance.advance()
		}
	})
}

// handle gives a decision to the instance that answers for the work, which
// with a shared queue may be another one.
func (cluster *cluster) handle(decision decide.Decision, by *instance) {
	if by.works[decision.Work] != nil {
		by.handle(decision)
		return
	}
	for _, instance := range cluster.instances {
		if instance.works[decision.Work] != nil {
			instance.handle(decision)
			return
		}
	}
}

func (instance *instance) handle(decision decide.Decision) {
	request := instance.works[decision.Work]
	switch decision.Verdict {
	case decide.Wait:
		request.waited = true
	case decide.Refuse:
		instance.refuse(request, decision.Result)
	case decide.Place:
		instance.dispatch(request, decision)
	}
}

func (instance *instance) refuse(request *request, result *peridotpath.Result) {
	cluster := instance.cluster
	request.finish(result.Code)
	if cluster.load.Returning && !request.returned && result.RetryAfter > 0 {
		cluster.clock.after(result.RetryAfter, func() { cluster.arrive(request.arrival, request) })
	}
}

func (request *request) finish(code peridotpath.Code) {
	request.final = true
	request.code = code
	request.finished = code == peridotpath.CodeOK
	request.ended = request.instance.cluster.clock.now.Sub(epoch)
	delete(request.instance.works, request.work)
}

// dispatch sends the request over the network and takes its results back.
func (instance *instance) dispatch(request *request, decision decide.Decision) {
	cluster := instance.cluster
	cluster.attempts++
	request.placed = true
	latency := cluster.load.Deployment.Latency
	engine := cluster.byID[decision.Endpoint.ID]
	job := &job{
		work:     request.work,
		priority: decision.Priority,
		prompt:   request.arrival.prompt,
		output:   request.arrival.output,
	}
	job.first = func() { cluster.clock.after(latency, func() { instance.firstToken(request, job) }) }
	job.ended = func(outcome decide.Outcome) {
		cluster.clock.after(latency, func() { instance.ended(request, job, outcome) })
	}
	request.job = job
	cluster.clock.after(latency, func() {
		if !job.gone {
			engine.submit(job)
		}
	})
}

func (instance *instance) firstToken(request *request, job *job) {
	if instance.dead || request.final || request.job != job {
		return
	}
	now := instance.cluster.clock.now
	request.ttft = now.Sub(request.begun)
	instance.decider.firstToken(now, request.work)
}

// attemptCodes are the results of failed attempts.
var attemptCodes = map[decide.Outcome]peridotpath.Code{
	decide.Rejected:     peridotpath.CodeEndpointRefused,
	decide.NotConnected: peridotpath.CodeEndpointFailed,
	decide.Failed:       peridotpath.CodeEndpointFailed,
}

func (instance *instance) ended(request *request, job *job, outcome decide.Outcome) {
	if instance.dead || request.final || request.job != job {
		return
	}
	now := instance.cluster.clock.now
	request.job = nil
	instance.decider.done(now, request.work, outcome, peridotpath.Tokens(job.decoded))
	if outcome == decide.Finished {
		request.finish(peridotpath.CodeOK)
		instance.advance()
		return
	}
	request.ttft = 0
	last := &peridotpath.Result{Code: attemptCodes[outcome]}
	instance.handle(instance.decider.retry(now, request.work, last))
	instance.advance()
}

// timeOut ends a request whose time is over.
func (instance *instance) timeOut(request *request) {
	if instance.dead || request.final {
		return
	}
	instance.drop(request)
	request.finish(peridotpath.CodeDeadline)
	instance.advance()
}

// drop takes an unfinished request off its engine or out of its queue.
func (instance *instance) drop(request *request) {
	now := instance.cluster.clock.now
	if job := request.job; job != nil {
		instance.cluster.byID[request.work.Endpoint].cancel(job)
		instance.decider.done(now, request.work, decide.Abandoned, 0)
		return
	}
	instance.decider.cancel(now, request.work)
}

// die ends the instance: its callers' connections break, and the engines see
// theirs break.
func (instance *instance) die() {
	instance.dead = true
	for _, request := range instance.order {
		if request.final {
			continue
		}
		instance.drop(request)
		request.finish(peridotpath.CodeStreamCut)
	}
}
