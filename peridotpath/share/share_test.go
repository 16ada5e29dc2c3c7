package share_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/share"
)

const (
	instances = 8
	limit     = 100
	// lag is the age of the figures that instances have of one another.
	lag = time.Second
)

var airline = &peridotpath.Customer{ID: "airline", MaxRequestsPerS: limit}

// bench is several instances that tell one another their demand with a lag.
type bench struct {
	limiters []*share.Limiter
	// told is what each instance publishes; peersOf what each knows of the others.
	told     []map[peridotpath.CustomerID]float64
	peersOf  [][]share.Peer
	cut      func(listener, speaker int) bool
	random   *rand.Rand
	admitted []int
	offered  []int
	second   []int // admitted in each second, all instances
}

func newBench() *bench {
	bench := &bench{random: rand.New(rand.NewPCG(1, 2)), cut: func(int, int) bool { return false }}
	bench.limiters = make([]*share.Limiter, instances)
	bench.told = make([]map[peridotpath.CustomerID]float64, instances)
	bench.peersOf = make([][]share.Peer, instances)
	for at := range instances {
		bench.restart(at)
	}
	bench.admitted, bench.offered = make([]int, instances), make([]int, instances)
	return bench
}

func (bench *bench) restart(at int) {
	bench.told[at] = map[peridotpath.CustomerID]float64{}
	bench.peersOf[at] = make([]share.Peer, instances)
	bench.limiters[at] = &share.Limiter{
		Peers: func() []share.Peer { return bench.peers(at) },
		Publish: func(id peridotpath.CustomerID, perSecond float64) {
			bench.told[at][id] = digest.Rounded(perSecond)
		},
		Keep: func(keep func(peridotpath.CustomerID) bool) {
			for id := range bench.told[at] {
				if !keep(id) {
					delete(bench.told[at], id)
				}
			}
		},
	}
	bench.limiters[at].Divide(time.Now(), 0)
}

func (bench *bench) peers(at int) []share.Peer {
	var peers []share.Peer
	for other, peer := range bench.peersOf[at] {
		if other != at {
			peers = append(peers, peer)
		}
	}
	return peers
}

// exchange lets the instances hear what the others publish.
func (bench *bench) exchange() {
	for speaker := range instances {
		for listener := range instances {
			if !bench.cut(listener, speaker) {
				bench.peersOf[listener][speaker] = share.Peer{Heard: time.Now(), Demand: maps.Clone(bench.told[speaker])}
			}
		}
	}
}

// play offers requests at random moments, at rate times the parts, for a span.
func (bench *bench) play(span time.Duration, rate float64, parts []float64) {
	clear(bench.admitted)
	clear(bench.offered)
	bench.second = nil
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < span; at += step {
		if at%time.Second == 0 {
			bench.second = append(bench.second, 0)
		}
		if at%lag == 0 {
			bench.exchange()
		}
		for i, limiter := range bench.limiters {
			if at%share.Interval == 0 {
				limiter.Divide(time.Now(), share.Interval)
			}
			bench.arrive(i, rate*parts[i]*step.Seconds())
		}
		time.Sleep(step)
	}
}

// arrive offers one request with the given chance, which may exceed one.
func (bench *bench) arrive(at int, chance float64) {
	for ; chance > 0; chance-- {
		if bench.random.Float64() >= chance {
			continue
		}
		bench.offered[at]++
		if ok, _ := bench.limiters[at].Allow(time.Now(), airline, 0); ok {
			bench.admitted[at]++
			bench.second[len(bench.second)-1]++
		}
	}
}

func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

var (
	even    = []float64{0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125}
	skewed  = []float64{0.6, 0.2, 0.1, 0.05, 0.03, 0.02, 0, 0}
	one     = []float64{1, 0, 0, 0, 0, 0, 0, 0}
	another = []float64{0, 0, 0, 0, 0, 0, 0, 1}
)

// The balancer sends most of a customer's requests to few instances. With equal
// parts of the limit the customer gets an eighth of what it pays for; with the
// whole limit at each instance, eight times as much.
func TestLimitHoldsAtAnySkew(t *testing.T) {
	cases := []struct {
		name  string
		rate  float64
		parts []float64
		// low and high bound what is admitted, as a part of the limit.
		low, high float64
	}{
		{"even, three times the limit", 3 * limit, even, 0.9, 1.1},
		{"skewed, three times the limit", 3 * limit, skewed, 0.9, 1.1},
		{"one instance, three times the limit", 3 * limit, one, 0.9, 1.1},
		{"skewed, a little above the limit", 1.2 * limit, skewed, 0.9, 1.1},
		{"skewed, within the limit", 0.8 * limit, skewed, 0.72, 0.88},
		{"one instance, within the limit", 0.8 * limit, one, 0.72, 0.88},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bench := newBench()
				bench.play(10*time.Second, test.rate, test.parts)
				bench.play(time.Minute, test.rate, test.parts)
				have := float64(sum(bench.admitted)) / 60 / limit
				t.Logf("admitted %.3f of the limit, offered %.3f", have, float64(sum(bench.offered))/60/limit)
				is.New(t).True(have >= test.low && have <= test.high)
			})
		})
	}
}

// The balancer moves a customer from one instance to another.
func TestShareFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bench := newBench()
		bench.play(20*time.Second, 2*limit, one)
		bench.play(10*time.Second, 0.8*limit, another)
		t.Logf("admitted of %d by second %v", limit*8/10, bench.second)
		is.True(sum(bench.admitted) > sum(bench.offered)*8/10)
		bench.play(30*time.Second, 3*limit, another)
		have := float64(sum(bench.admitted)) / 30 / limit
		t.Logf("after the move %.3f of the limit", have)
		is.True(have > 0.9 && have < 1.1)
	})
}

// A small customer's one request at an instance without a share of its own put
// the next one far ahead. Then the customer comes here alone, and would be
// refused for a minute though nobody else uses its limit.
func TestOldPaceIsNotWaitedOut(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	small := &peridotpath.Customer{ID: "small", MaxRequestsPerS: 1}
	elsewhere := 5.0
	limiter := &share.Limiter{
		Peers: func() []share.Peer {
			return []share.Peer{{Heard: now, Demand: map[peridotpath.CustomerID]float64{"small": elsewhere}}, {Heard: now}}
		},
		Publish: func(peridotpath.CustomerID, float64) {},
		Keep:    func(func(peridotpath.CustomerID) bool) {},
	}
	limiter.Allow(now, small, 0)
	limiter.Divide(now, share.Interval)
	limiter.Allow(now.Add(2*time.Second), small, 0)
	ok, retryAfter := limiter.Allow(now, small, 0)
	is.True(!ok)
	is.True(retryAfter > 0 && retryAfter <= 2*time.Second)
	elsewhere = 0
	limiter.Divide(now, share.Interval)
	ok, _ = limiter.Allow(now.Add(4*time.Second), small, 0)
	is.True(ok)
}

// A flood begins everywhere at the same moment. Whatever is admitted before the
// instances know of one another must stay within what the package states.
func TestFloodIsBoundedFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench()
		bench.play(10*time.Second, 10*limit, skewed)
		t.Logf("admitted by second %v", bench.second)
		is.New(t).True(sum(bench.admitted) <= limit*10*11/10+limit)
	})
}

// Half of the instances no longer hear the other half, and demand moves so that
// both sides are flooded. Each side would give the whole limit to its callers.
func TestSilentPeersKeepTheirPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bench := newBench()
		bench.play(20*time.Second, 3*limit, one)
		bench.cut = func(listener, speaker int) bool { return listener < 4 != (speaker < 4) }
		bench.play(share.SilentAfter+2*time.Second, 3*limit, even)
		before := float64(sum(bench.admitted)) / (share.SilentAfter + 2*time.Second).Seconds() / limit
		bench.play(30*time.Second, 3*limit, even)
		after := float64(sum(bench.admitted)) / 30 / limit
		t.Logf("both sides: %.3f of the limit at first, %.3f then", before, after)
		is.True(before <= 2)
		is.True(after > 0.9 && after < 1.1)
		bench.cut = func(int, int) bool { return false }
		bench.play(10*time.Second, 3*limit, skewed)
		bench.play(30*time.Second, 3*limit, skewed)
		have := float64(sum(bench.admitted)) / 30 / limit
		is.True(have > 0.9 && have < 1.1)
	})
}

// Half of the instances are replaced during a flood, one after the other. A new
// one knows nothing of the customer and of the others.
func TestRestartsDoNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench()
		bench.play(10*time.Second, 3*limit, even)
		admitted := 0
		for at := range instances / 2 {
			bench.restart(at)
			bench.play(5*time.Second, 3*limit, even)
			admitted += sum(bench.admitted)
		}
		have := float64(admitted) / 20 / limit
		t.Logf("admitted %.3f of the limit", have)
		is.New(t).True(have > 0.85 && have < 1.15)
	})
}
