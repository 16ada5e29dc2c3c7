package quarantine_test

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/quarantine"
)

// crashStory is a load of sound requests while endpoints crash for reasons of their own.
type crashStory struct {
	name      string
	endpoints int
	// perSecond is the rate of requests, readTime their mean time until the first event.
	perSecond float64
	readTime  time.Duration
	// crashesPerSecond is the rate of single crashes; every burstInterval a share of all
	// endpoints crashes, one each burstGap.
	crashesPerSecond        float64
	burstInterval, burstGap time.Duration
	burstShare              float64
	// freshParts gives each request but the tenth a part that no other one has.
	freshParts bool
}

var crashStories = []crashStory{
	{name: "quick prompts", endpoints: 24, perSecond: 30, readTime: 200 * time.Millisecond, crashesPerSecond: 2},
	{name: "long prompts", endpoints: 24, perSecond: 24, readTime: 3 * time.Second, crashesPerSecond: 2},
	{name: "few long prompts", endpoints: 24, perSecond: 2, readTime: 3 * time.Second, crashesPerSecond: 2},
	{name: "few endpoints", endpoints: 6, perSecond: 10, readTime: time.Second, crashesPerSecond: 1},
	{name: "racks", endpoints: 24, perSecond: 30, readTime: 500 * time.Millisecond, burstInterval: 4 * time.Second, burstShare: 0.5},
	{name: "all at once", endpoints: 24, perSecond: 30, readTime: time.Second, burstInterval: 8 * time.Second, burstShare: 1},
	{name: "one after another", endpoints: 24, perSecond: 20, readTime: time.Second, burstInterval: 8 * time.Second, burstGap: 250 * time.Millisecond, burstShare: 1},
	{name: "a rack, one after another", endpoints: 24, perSecond: 30, readTime: 500 * time.Millisecond, burstInterval: 4 * time.Second, burstGap: 20 * time.Millisecond, burstShare: 0.5},
	{name: "fresh parts", endpoints: 12, perSecond: 10, readTime: time.Second, crashesPerSecond: 2, freshParts: true},
}

const (
	storyTime           = 30 * time.Second
	simulatedInstances  = 6
	simulatedDowntime   = 3 * time.Second
	simulatedAnswerTime = 4 * time.Second
	// firstToSecondEvent is the time from the first event to the second one, at which an
	// instance knows that the endpoint began to answer.
	firstToSecondEvent = 150 * time.Millisecond
)

var seeds = flag.Int("seeds", 3, "seeds of each story of TestRandomCrashesBarNoPart")

// simulation plays a crashStory with a manual clock.
type simulation struct {
	story     *crashStory
	random    *rand.Rand
	began     time.Time
	now       time.Time
	instances []*quarantine.Quarantine
	events    eventQueue
	// downUntil is when an endpoint is back, startCount how often it has started.
	downUntil  []time.Time
	startCount []int
	running    []map[*simulatedRequest]bool
	barred     []string
	requests   int
}

type simulatedRequest struct {
	quarantine.Request
	attempts int
	hasBegun bool
	sentAt   time.Time
	number   int
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (queue eventQueue) Len() int           { return len(queue) }
func (queue eventQueue) Less(i, j int) bool { return queue[i].at.Before(queue[j].at) }
func (queue eventQueue) Swap(i, j int)      { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)        { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	*queue = (*queue)[:last]
	return popped
}

func newSimulation(story *crashStory, seed uint64) *simulation {
	began := time.Now()
	simulation := &simulation{
		story: story, random: rand.New(rand.NewPCG(seed, 49)), began: began, now: began,
		downUntil: make([]time.Time, story.endpoints), startCount: make([]int, story.endpoints),
	}
	table := &facts.Table{}
	for i := range simulatedInstances {
		simulation.instances = append(simulation.instances, &quarantine.Quarantine{
			Instance: peridotpath.InstanceID(fmt.Sprint("edge-", i)), Facts: table, Log: zerolog.Nop(),
		})
	}
	for range story.endpoints {
		simulation.running = append(simulation.running, map[*simulatedRequest]bool{})
	}
	return simulation
}

func (simulation *simulation) after(delay time.Duration, do func()) {
	heap.Push(&simulation.events, event{at: simulation.now.Add(delay), do: do})
}

// exponential returns a random delay with the given mean.
func (simulation *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(simulation.random.ExpFloat64() * float64(mean))
}

func (simulation *simulation) run() {
	end := simulation.now.Add(storyTime)
	story := simulation.story
	simulation.arriveLater(time.Duration(float64(time.Second) / story.perSecond))
	if story.crashesPerSecond > 0 {
		simulation.crashLater(time.Duration(float64(time.Second) / story.crashesPerSecond))
	}
	if story.burstInterval > 0 {
		simulation.burstLater()
	}
	for len(simulation.events) > 0 && simulation.events[0].at.Before(end) {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.do()
	}
}

func (simulation *simulation) arriveLater(interval time.Duration) {
	simulation.after(simulation.exponential(interval), func() {
		simulation.send(simulation.newRequest())
		simulation.arriveLater(interval)
	})
}

func (simulation *simulation) crashLater(interval time.Duration) {
	simulation.after(simulation.exponential(interval), func() {
		simulation.crash(simulation.random.IntN(simulation.story.endpoints))
		simulation.crashLater(interval)
	})
}

func (simulation *simulation) burstLater() {
	simulation.after(simulation.story.burstInterval, func() {
		for i, endpoint := range simulation.random.Perm(simulation.story.endpoints) {
			if float64(i) < simulation.story.burstShare*float64(simulation.story.endpoints) {
				simulation.after(time.Duration(i)*simulation.story.burstGap, func() { simulation.crash(endpoint) })
			}
		}
		simulation.burstLater()
	})
}

// newRequest returns a request with a part that all have, one of eight and, in one of ten, a
// rare one or, in the others, one of its own where the story says so.
func (simulation *simulation) newRequest() *simulatedRequest {
	simulation.requests++
	names := []string{"c0", fmt.Sprint("d", simulation.random.IntN(8))}
	switch {
	case simulation.random.IntN(10) == 0:
		names = append(names, "4a4e")
	case simulation.story.freshParts:
		names = append(names, fmt.Sprint("f", simulation.requests))
	}
	request := &simulatedRequest{number: simulation.requests}
	request.Content = peridotpath.FingerprintOf("desk", "host", "POST", "/", []byte(fmt.Sprint(simulation.requests)))
	for _, name := range names {
		part := peridotpath.PartID(name)
		request.Parts = append(request.Parts, quarantine.Part{ID: part, Fingerprint: peridotpath.FingerprintOfPart("desk", part)})
	}
	return request
}

func (simulation *simulation) send(request *simulatedRequest) {
	instance := simulation.instances[simulation.random.IntN(simulatedInstances)]
	verdict := instance.Judge(request.Request, simulation.now)
	if verdict.State == quarantine.Quarantined {
		if verdict.Part != "" {
			simulation.barred = append(simulation.barred, fmt.Sprintf("%s at %v after %d crashes", verdict.Part, simulation.now.Sub(simulation.began).Round(10*time.Millisecond), verdict.Crashes))
		}
		return
	}
	endpoint := simulation.random.IntN(simulation.story.endpoints)
	if simulation.now.Before(simulation.downUntil[endpoint]) {
		return
	}
	request.attempts++
	attempt := request.attempts
	request.sentAt = simulation.now
	simulation.running[endpoint][request] = true
	isRunning := func() bool { return simulation.running[endpoint][request] && request.attempts == attempt }
	simulation.after(simulation.exponential(simulation.story.readTime)+firstToSecondEvent, func() {
		if isRunning() {
			request.hasBegun = true
			simulation.after(simulatedAnswerTime, func() { delete(simulation.running[endpoint], request) })
			instance.RecordBegun(request.Parts, simulation.now)
			instance.RecordSurvival(request.Content, simulation.now)
		}
	})
}

// gossip lets all instances receive the crash of a request's parts.
func (simulation *simulation) gossip(request *simulatedRequest) {
	for _, instance := range simulation.instances {
		for _, part := range request.Parts {
			instance.ReceiveFact(facts.Fact{Kind: facts.KindPartCrashed, Subject: facts.Subject(part.Fingerprint)}, simulation.now)
		}
	}
}

// crash crashes an endpoint; the requests that it had not begun to answer are sent again once.
func (simulation *simulation) crash(endpoint int) {
	if simulation.now.Before(simulation.downUntil[endpoint]) {
		return
	}
	key := peridotpath.EndpointKey(1000*endpoint + simulation.startCount[endpoint])
	simulation.startCount[endpoint]++
	simulation.downUntil[endpoint] = simulation.now.Add(simulatedDowntime)
	requests := slices.SortedFunc(maps.Keys(simulation.running[endpoint]), func(a, b *simulatedRequest) int { return a.number - b.number })
	for _, request := range requests {
		instance := simulation.instances[simulation.random.IntN(simulatedInstances)]
		instance.RecordCrash(request.Request, quarantine.Crash{
			Endpoint: key, At: simulation.now, Age: simulation.now.Sub(request.sentAt), IsContentSuspect: !request.hasBegun, ArePartsSuspect: !request.hasBegun,
		})
		simulation.gossip(request)
		if request.attempts < 2 {
			simulation.after(time.Millisecond, func() { simulation.send(request) })
		}
	}
	simulation.running[endpoint] = map[*simulatedRequest]bool{}
}

// Endpoints crash for reasons of their own under requests that all share parts. No part may be
// barred for it: a route would stop.
func TestRandomCrashesBarNoPart(t *testing.T) {
	for i := range crashStories {
		story := &crashStories[i]
		t.Run(story.name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				simulation := newSimulation(story, seed)
				simulation.run()
				if len(simulation.barred) > 0 {
					t.Errorf("seed %d: %d requests refused for parts %v, want none", seed, len(simulation.barred), simulation.barred[:min(len(simulation.barred), 5)])
				}
			}
		})
	}
}

// BenchmarkJudgeAmongManySuspects measures a decision while endpoints crash under many requests:
// with evidence that is read already, and with a new fact for each decision.
func BenchmarkJudgeAmongManySuspects(b *testing.B) {
	for _, isNew := range []bool{false, true} {
		b.Run(fmt.Sprintf("new=%v", isNew), func(b *testing.B) {
			fixture := newWarmFixture()
			for i := range 2000 {
				fixture.RecordCrash(prompt(fmt.Sprint(i), "c0", peridotpath.PartID(fmt.Sprintf("%x", i))), quarantine.Crash{
					Endpoint: peridotpath.EndpointKey(i / 20), At: fixture.now, IsContentSuspect: true, ArePartsSuspect: true,
				})
			}
			fixture.advance(time.Second)
			request := prompt("new", "c0", "1", "2", "3")
			for b.Loop() {
				if isNew {
					fixture.advance(25 * time.Millisecond)
					fixture.Facts.Receive([]facts.Fact{{Kind: facts.KindSurvived, Subject: facts.Subject{1}, ObservedAt: fixture.now}}, false)
				}
				fixture.Judge(request, fixture.now)
			}
		})
	}
}
