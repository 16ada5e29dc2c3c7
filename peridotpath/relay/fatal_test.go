package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
)

const (
	// fatalBody is a body that no endpoint survives.
	fatalBody = "fatal"
	// verdictTime is the time after the third end under a request within which all
	// instances know of it, and spareRuns how often it may run after that.
	verdictTime = 3 * time.Second
	spareRuns   = 3
)

// storm is a load of requests with their bodies.
type storm []stormAsk

type stormAsk struct {
	at    time.Duration
	route string
	body  string
}

// steady adds requests at a rate, each with a body by its number.
func (load storm) steady(random *rand.Rand, route string, from, until time.Duration, perSecond float64, body func(i int) string) storm {
	for i, arrival := range poisson(random, from, until, perSecond, func(at time.Duration) arrival { return arrival{at: at} }) {
		load = append(load, stormAsk{at: arrival.at, route: route, body: body(i)})
	}
	return load
}

func ownBody(i int) string { return fmt.Sprintf("body %d", i) }

func sameBody(body string) func(int) string { return func(int) string { return body } }

// playStorm sends a load to instances by chance and returns what each caller got.
func playStorm(mortal *mortalEndpoints, fleet *fleet, random *rand.Rand, load storm) []*outcome {
	for _, one := range fleet.relays {
		one.relay.Check = mortal.check
	}
	outcomes := make([]*outcome, len(load))
	began := time.Now()
	var all sync.WaitGroup
	for i, ask := range load {
		one := fleet.relays[random.IntN(len(fleet.relays))]
		all.Go(func() {
			time.Sleep(ask.at - time.Since(began))
			outcomes[i] = one.ask(context.Background(), ask.route, func(request *relay.Request) {
				request.ID, request.Body = peridotpath.RequestID(fmt.Sprint("r", i)), []byte(ask.body)
				request.Prompt, request.Answer = 2000, 400
			})
		})
	}
	all.Wait()
	return outcomes
}

// lateRuns counts the runs of a body that began when three endpoints had ended under
// it for longer than instances may take to know that.
func (mortal *mortalEndpoints) lateRuns(body string) (late, ended int) {
	mortal.mutex.Lock()
	defer mortal.mutex.Unlock()
	var third time.Time
	for _, run := range mortal.runs {
		if run.body != body || run.ended.IsZero() {
			continue
		}
		if ended++; ended == 3 {
			third = run.ended
		}
	}
	for _, run := range mortal.runs {
		if run.body == body && !third.IsZero() && run.at.After(third.Add(verdictTime)) {
			late++
		}
	}
	return late, ended
}

func served(load storm, outcomes []*outcome, body func(string) bool) (good, asked int) {
	for i, outcome := range outcomes {
		if !body(load[i].body) {
			continue
		}
		asked++
		if outcome.status == http.StatusOK && !outcome.broken {
			good++
		}
	}
	return good, asked
}

// Guards against one request that ends every endpoint it is sent to, again and again.
func TestRequestThatEndsEndpointsIsNotSentOn(t *testing.T) {
	for _, test := range []struct {
		route  string
		engine *peridotpath.EngineRates
	}{
		{"short", &testRates}, {"look", nil}, {"save", nil},
	} {
		t.Run(test.route, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(29, 1))
				mortal, endpoints := newMortalEndpoints(12, func(body string) bool { return body == fatalBody })
				fleet := newFleet(6, 10*time.Millisecond, func(int) *fixture { return newFixture(mortal.send, test.engine, endpoints...) })
				load := storm{}.steady(random, test.route, 0, 20*time.Second, 40, ownBody)
				load = load.steady(random, test.route, 2*time.Second, 18*time.Second, 6, sameBody(fatalBody))
				outcomes := playStorm(mortal, fleet, random, load)
				late, ended := mortal.lateRuns(fatalBody)
				good, asked := served(load, outcomes, func(body string) bool { return body != fatalBody })
				t.Logf("%d endpoints ended, %d runs too late; %d of %d others served", ended, late, good, asked)
				if late > spareRuns {
					t.Errorf("runs of it %v after the third end: %d, want %d at most", verdictTime, late, spareRuns)
				}
				time.Sleep(downFor)
			})
		})
	}
}

// Guards against a verdict that lost digests, or an instance that was cut off, keep from the others.
func TestRequestThatEndsEndpointsIsNotSentOnThoughDigestsAreLost(t *testing.T) {
	for seed := range uint64(5) {
		virtual.Test(t, func(t *testing.T) {
			random, chance := rand.New(rand.NewPCG(29, seed)), rand.New(rand.NewPCG(30, seed))
			ctx, cancel := context.WithCancel(t.Context())
			began := time.Now()
			mortal, endpoints := newMortalEndpoints(12, func(body string) bool { return body == fatalBody })
			fleet := newFleet(6, 10*time.Millisecond, func(int) *fixture { return newFixture(mortal.send, nil, endpoints...) })
			fleet.lost = func(from, to int) bool {
				// The first one hears and tells nothing from shortly after the request's first coming.
				cut := (from == 0 || to == 0) && time.Since(began) > 2200*time.Millisecond && time.Since(began) < 4*time.Second
				return cut || chance.IntN(3) == 0
			}
			go fleet.beat(ctx, 250*time.Millisecond)
			load := storm{}.steady(random, "look", 0, 20*time.Second, 40, ownBody)
			load = load.steady(random, "look", 2*time.Second, 18*time.Second, 6, sameBody(fatalBody))
			outcomes := playStorm(mortal, fleet, random, load)
			late, ended := mortal.lateRuns(fatalBody)
			good, asked := served(load, outcomes, func(body string) bool { return body != fatalBody })
			t.Logf("seed %d: %d endpoints ended, %d runs too late; %d of %d others served", seed, ended, late, good, asked)
			if late > spareRuns {
				t.Errorf("seed %d: runs of it %v after the third end: %d, want %d at most", seed, verdictTime, late, spareRuns)
			}
			cancel()
			time.Sleep(downFor)
		})
	}
}

// Guards against a body that many send being kept from them because endpoints end by themselves.
func TestPopularBodyIsServedWhileEndpointsEnd(t *testing.T) {
	for _, test := range []struct {
		route     string
		engine    *peridotpath.EngineRates
		perSecond float64
	}{
		{"look", nil, 60}, {"look", nil, 2}, {"short", &testRates, 60}, {"short", &testRates, 2}, {"save", nil, 4},
	} {
		for seed := range uint64(3) {
			virtual.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(29, seed))
				mortal, endpoints := newMortalEndpoints(24, func(string) bool { return false })
				fleet := newFleet(6, 10*time.Millisecond, func(int) *fixture { return newFixture(mortal.send, test.engine, endpoints...) })
				load := storm{}.steady(random, test.route, 0, 20*time.Second, test.perSecond, sameBody("popular"))
				for at := time.Second; at < 19*time.Second; at += 500 * time.Millisecond {
					id := endpoints[random.IntN(len(endpoints))].ID
					time.AfterFunc(at, func() { mortal.end(id) })
				}
				outcomes := playStorm(mortal, fleet, random, load)
				good, asked := served(load, outcomes, func(string) bool { return true })
				refused := 0
				for _, outcome := range outcomes {
					if outcome.result.Code != peridotpath.CodeOK && outcome.result.Code.NotRun() {
						refused++
					}
				}
				t.Logf("%s, %v a second, seed %d: %d of %d served, %d refused", test.route, test.perSecond, seed, good, asked, refused)
				if refused > 0 {
					t.Errorf("%s, %v a second, seed %d: refused %d of %d, want none", test.route, test.perSecond, seed, refused, asked)
				}
				time.Sleep(downFor)
			})
		}
	}
}

// Guards against a suspected request that waits for another one's trial before each of its attempts.
func TestSuspectedRequestWaitsOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		script := &script{steps: []step{unsent(), unsent()}}
		fixture := newFixture(script.send, nil, testEndpoint(0), testEndpoint(1))
		content := facts.Subject(peridotpath.FingerprintOf("desk", "host", http.MethodPost, "/look/x", []byte("body")))
		for endpoint := range uint64(2) {
			fixture.facts.Learn(facts.Fact{Kind: facts.KindEnded, Subject: content, Detail: endpoint, At: time.Now()})
		}
		time.Sleep(200 * time.Millisecond)
		fixture.facts.Learn(facts.Fact{Kind: facts.KindTrial, Subject: content, Value: 1, At: time.Now()})
		outcome := fixture.ask(t.Context(), "look", func(request *relay.Request) { request.Body = []byte("body") })
		if len(script.calls) != 2 || !outcome.result.Code.NotRun() {
			t.Errorf("%d calls, %v; want both endpoints tried and none to have run it", len(script.calls), outcome.result)
		}
		if most := 500 * time.Millisecond; outcome.took > most {
			t.Errorf("refused after %v, want %v at most", outcome.took, most)
		}
	})
}
