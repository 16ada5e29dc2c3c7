package bench

import (
	"fmt"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
)

const (
	reportInterval = 250 * time.Millisecond
	// membershipLag is the time for which the membership list still contains a dead
	// endpoint.
	membershipLag = 5 * time.Second
	// faultDelay is the time from the start until endpoints and instances crash.
	faultDelay = 150 * time.Second
	// replaceDelay is the time until a crashed instance restarts without state.
	replaceDelay = 10 * time.Second
)

// cluster is the state of one run: instances that decide separately, and simulated
// engines.
type cluster struct {
	clock            clock
	load             *Load
	policy           Policy
	engines          []*engine
	byID             map[peridotpath.EndpointID]*engine
	endpoints        []peridotpath.Endpoint
	instances        []*instance
	makeDecider      func(int) *decider
	customers        []*peridotpath.Customer
	requests         []*request
	engineCapacity   float64 // as returned by Load.engineCapacity
	attempts         int
	prefilledTokens  float64 // in the period whose arrivals are counted
	imbalanceSum     float64 // sum of the imbalances that sampleImbalance recorded
	imbalanceSamples int
}

// instance is a simulated Instance: a decider and the requests that it received.
type instance struct {
	cluster   *cluster
	number    int
	decider   *decider
	isDead    bool
	wakeAt    time.Time
	works     map[*decide.Work]*request
	byArrival []*request
}

// request is a caller's request and its outcome.
type request struct {
	arrival    *arrival
	isRetry    bool // the caller's retry of a refused request
	arrivedAt  time.Time
	work       *decide.Work
	instance   *instance
	job        *job
	isQueued   bool // was admitted to a queue
	isPlaced   bool
	hasEnded   bool
	succeeded  bool
	code       peridotpath.Code
	ttft       time.Duration
	endedAfter time.Duration // since the start of the run
	retry      *request
}

var epoch = time.Unix(1_000_000, 0).UTC()

// run simulates the arrivals with the policy.
func run(load *Load, policy Policy, arrivals []arrival, seed uint64) *cluster {
	cluster := &cluster{load: load, policy: policy, byID: map[peridotpath.EndpointID]*engine{}}
	cluster.clock.now = epoch
	cluster.customers = load.customers()
	cluster.makeDecider = policy.build(load.Deployment, seed)
	cluster.addEngines()
	for number := range load.Deployment.Instances {
		cluster.instances = append(cluster.instances, cluster.startInstance(number))
	}
	cluster.clock.runAfter(0, func() { cluster.sendReports(1) })
	cluster.scheduleFaults()
	cluster.scheduleArrivals(arrivals)
	cluster.clock.runUntil(epoch.Add(warmUpPeriod))
	before := cluster.totalPrefilled()
	cluster.clock.runUntil(epoch.Add(arrivalPeriod))
	cluster.prefilledTokens = cluster.totalPrefilled() - before
	cluster.clock.runUntil(epoch.Add(arrivalPeriod + drainPeriod))
	return cluster
}

// scheduleArrivals schedules the first arrival, which schedules the next.
func (cluster *cluster) scheduleArrivals(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	cluster.clock.runAt(epoch.Add(arrivals[0].at), func() {
		cluster.scheduleArrivals(arrivals[1:])
		cluster.arrive(&arrivals[0], nil)
	})
}

func (cluster *cluster) addEngines() {
	for i := range cluster.load.Deployment.Endpoints {
		id := peridotpath.EndpointID(fmt.Sprintf("endpoint-%02d", i))
		engine := &engine{clock: &cluster.clock, id: id, slowFactor: 1}
		if i == 0 && cluster.load.SlowFactor > 0 {
			engine.slowFactor = cluster.load.SlowFactor
		}
		engine.failFast = i == 1 && cluster.load.FailsFast
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
		sum += engine.prefilledTokens
	}
	return float64(sum)
}

func (cluster *cluster) startInstance(number int) *instance {
	instance := &instance{
		cluster: cluster, number: number, decider: cluster.makeDecider(number), works: map[*decide.Work]*request{},
	}
	instance.decider.setEndpoints(cluster.clock.now, cluster.endpoints)
	return instance
}

// sendReports sends the load reports of all engines to every instance, which receives them
// after Load.ReportLag, and schedules the next reports.
func (cluster *cluster) sendReports(revision uint64) {
	if cluster.clock.now.After(epoch.Add(arrivalPeriod + drainPeriod)) {
		return
	}
	loads := make([]peridotpath.Load, len(cluster.engines))
	for i, engine := range cluster.engines {
		loads[i] = engine.report(revision)
	}
	cluster.sampleImbalance(loads)
	cluster.clock.runAfter(cluster.load.ReportLag, func() { cluster.deliverReports(loads) })
	cluster.clock.runAfter(reportInterval, func() { cluster.sendReports(revision + 1) })
}

func (cluster *cluster) deliverReports(loads []peridotpath.Load) {
	for _, instance := range cluster.instances {
		if instance.isDead {
			continue
		}
		for i, load := range loads {
			if !cluster.engines[i].isDead {
				instance.decider.report(cluster.clock.now, cluster.engines[i].id, load)
			}
		}
		instance.advance()
	}
}

func (cluster *cluster) scheduleFaults() {
	if cluster.load.KilledShare > 0 {
		cluster.clock.runAfter(faultDelay, cluster.killEngines)
		cluster.clock.runAfter(faultDelay+membershipLag, cluster.updateMembership)
	}
	for number := range cluster.load.ReplacedInstances {
		cluster.clock.runAfter(faultDelay, func() { cluster.instances[number].die() })
		cluster.clock.runAfter(faultDelay+replaceDelay, func() { cluster.instances[number] = cluster.startInstance(number) })
	}
}

func (cluster *cluster) killEngines() {
	killed := int(float64(len(cluster.engines)) * cluster.load.KilledShare)
	for _, engine := range cluster.engines[len(cluster.engines)-killed:] {
		engine.die()
	}
}

func (cluster *cluster) updateMembership() {
	var live []peridotpath.Endpoint
	for _, endpoint := range cluster.endpoints {
		if !cluster.byID[endpoint.ID].isDead {
			live = append(live, endpoint)
		}
	}
	cluster.endpoints = live
	for _, instance := range cluster.instances {
		instance.decider.setEndpoints(cluster.clock.now, live)
		instance.advance()
	}
}

// arrive submits a request to the instance that the balancer picks. For a retry, refused is
// the request that was refused, else nil.
func (cluster *cluster) arrive(arrival *arrival, refused *request) {
	var live []*instance
	for _, instance := range cluster.instances {
		if !instance.isDead {
			live = append(live, instance)
		}
	}
	choice := arrival.instanceChoice
	if refused != nil {
		choice /= 1024
	}
	profile := profiles[arrival.class]
	now := cluster.clock.now
	request := &request{arrival: arrival, arrivedAt: now, instance: live[choice%uint64(len(live))], isRetry: refused != nil}
	request.work = &decide.Work{
		Customer:        cluster.customers[arrival.customer],
		Profile:         profile,
		Class:           peridotpath.ClassOf(peridotpath.Tokens(arrival.estimatedPrompt), 0),
		PromptTokens:    peridotpath.Tokens(arrival.estimatedPrompt),
		MaxOutputTokens: peridotpath.Tokens(arrival.maxOutput),
		Prefixes:        arrival.prefixHashes,
		ArrivedAt:       now,
		Deadline:        now.Add(profile.DeadlineMS.Duration()),
	}
	if refused != nil {
		refused.retry = request
	} else {
		cluster.requests = append(cluster.requests, request)
	}
	request.instance.submit(request)
}

func (instance *instance) submit(request *request) {
	instance.works[request.work] = request
	instance.byArrival = append(instance.byArrival, request)
	instance.cluster.clock.runAt(request.work.Deadline, func() { instance.timeOut(request) })
	instance.handle(instance.decider.submit(instance.cluster.clock.now, request.work))
	instance.advance()
}

// advance applies the decisions on queued work, and schedules the next call.
func (instance *instance) advance() {
	if instance.isDead {
		return
	}
	now := instance.cluster.clock.now
	for _, decision := range instance.decider.advance(now) {
		instance.cluster.handle(decision, instance)
	}
	next := instance.decider.next()
	if next.IsZero() || next.Equal(instance.wakeAt) {
		return
	}
	instance.wakeAt = next
	instance.cluster.clock.runAt(next, func() {
		if instance.wakeAt.Equal(next) {
			instance.wakeAt = time.Time{}
			instance.advance()
		}
	})
}

// handle passes a decision to the instance that received the work. With a shared queue, that
// instance can differ from decidedBy.
func (cluster *cluster) handle(decision decide.Decision, decidedBy *instance) {
	if decidedBy.works[decision.Work] != nil {
		decidedBy.handle(decision)
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
		request.isQueued = true
	case decide.Refuse:
		instance.refuse(request, decision.Result)
	case decide.Place:
		instance.dispatch(request, decision)
	}
}

func (instance *instance) refuse(request *request, result *peridotpath.Result) {
	cluster := instance.cluster
	request.finish(result.Code)
	if cluster.load.CallersRetry && !request.isRetry && result.RetryAfter > 0 {
		cluster.clock.runAfter(result.RetryAfter, func() { cluster.arrive(request.arrival, request) })
	}
}

func (request *request) finish(code peridotpath.Code) {
	request.hasEnded = true
	request.code = code
	request.succeeded = code == peridotpath.CodeOK
	request.endedAfter = request.instance.cluster.clock.now.Sub(epoch)
	delete(request.instance.works, request.work)
}

// dispatch sends a request to its engine and receives the results, each after the network
// latency.
func (instance *instance) dispatch(request *request, decision decide.Decision) {
	cluster := instance.cluster
	cluster.attempts++
	request.isPlaced = true
	latency := cluster.load.Deployment.Latency
	engine := cluster.byID[decision.Endpoint.ID]
	job := &job{
		work:         request.work,
		priority:     decision.Priority,
		promptTokens: request.arrival.promptTokens,
		outputTokens: request.arrival.outputTokens,
	}
	job.onFirstToken = func() { cluster.clock.runAfter(latency, func() { instance.firstToken(request, job) }) }
	job.onEnd = func(outcome decide.Outcome) {
		cluster.clock.runAfter(latency, func() { instance.attemptEnded(request, job, outcome) })
	}
	request.job = job
	cluster.clock.runAfter(latency, func() {
		if !job.isRemoved {
			engine.submit(job)
		}
	})
}

func (instance *instance) firstToken(request *request, job *job) {
	if instance.isDead || request.hasEnded || request.job != job {
		return
	}
	now := instance.cluster.clock.now
	request.ttft = now.Sub(request.arrivedAt)
	instance.decider.firstToken(now, request.work)
}

// attemptCodes are the results of failed attempts.
var attemptCodes = map[decide.Outcome]peridotpath.Code{
	decide.Rejected:     peridotpath.CodeEndpointRefused,
	decide.NotConnected: peridotpath.CodeEndpointFailed,
	decide.Failed:       peridotpath.CodeEndpointFailed,
}

func (instance *instance) attemptEnded(request *request, job *job, outcome decide.Outcome) {
	if instance.isDead || request.hasEnded || request.job != job {
		return
	}
	now := instance.cluster.clock.now
	request.job = nil
	instance.decider.done(now, request.work, outcome, peridotpath.Tokens(job.decodedTokens))
	if outcome == decide.Finished {
		request.finish(peridotpath.CodeOK)
		instance.advance()
		return
	}
	request.ttft = 0
	failure := &peridotpath.Result{Code: attemptCodes[outcome]}
	instance.handle(instance.decider.retry(now, request.work, failure))
	instance.advance()
}

// timeOut ends a request at its deadline.
func (instance *instance) timeOut(request *request) {
	if instance.isDead || request.hasEnded {
		return
	}
	instance.abort(request)
	request.finish(peridotpath.CodeDeadline)
	instance.advance()
}

// abort cancels an unfinished request on its engine or in its queue.
func (instance *instance) abort(request *request) {
	now := instance.cluster.clock.now
	if job := request.job; job != nil {
		instance.cluster.byID[request.work.Endpoint].cancel(job)
		instance.decider.done(now, request.work, decide.Abandoned, 0)
		return
	}
	instance.decider.cancel(now, request.work)
}

// die crashes the instance: its connections to callers and engines break.
func (instance *instance) die() {
	instance.isDead = true
	for _, request := range instance.byArrival {
		if request.hasEnded {
			continue
		}
		instance.abort(request)
		request.finish(peridotpath.CodeStreamCut)
	}
}
