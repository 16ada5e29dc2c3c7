// Package facts holds what single instances see and all have to know: each fact with
// its age, who saw it, and when it ends. Instances tell each other what is new, and
// everybody decides by the same facts.
//
// The load that it is made for is what one instance cannot see: a request that comes
// to another instance each time, an endpoint that names to one what binds all. Facts
// are few while nothing happens; what is kept and told of each kind is bounded.
package facts

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/telemetry"
)

// Kind is what a fact says. The numbers stand in digests.
type Kind uint8

// The kinds.
const (
	// KindEnded: an endpoint, the detail, ended while it ran a request, the subject.
	KindEnded Kind = 1
	// KindSurvived: an endpoint has run a request, the subject, and goes on.
	KindSurvived Kind = 2
	// KindBarred: a request, the subject, is kept off the endpoints for as many
	// seconds as the value says.
	KindBarred Kind = 3
	// KindTrial: an instance sends a suspected request, the subject; the value numbers
	// these attempts.
	KindTrial Kind = 4
	// KindLimit: an endpoint, the subject, takes as many requests a second from all
	// instances together as the value says.
	KindLimit Kind = 5
	// KindSent: an instance, the detail, has sent as many requests to an endpoint with a
	// limit, the subject, as the value says.
	KindSent Kind = 6
	// KindPace: an engine, the detail, takes as many times as long as published for its
	// work as the value says.
	KindPace Kind = 7

	kinds = 8
)

// rule is how facts of a kind are kept.
type rule struct {
	name string
	// keep is how long one is known, most how many are at once.
	keep time.Duration
	most int
	// lasting facts are told again now and then for those that missed them.
	lasting bool
	// same is the difference in age up to which two facts that say the same are one; the
	// age of what is handed on grows by the time on its way.
	same time.Duration
}

// evidenceKept is how long an end counts against a request: one that comes once a
// minute is found out, too.
const evidenceKept = 10 * time.Minute

// onWay is the time that a fact may have been on its way.
const onWay = 250 * time.Millisecond

var rules = [kinds]rule{
	KindEnded:    {name: "ended", keep: evidenceKept, most: 2048, same: onWay},
	KindSurvived: {name: "survived", keep: evidenceKept, most: 1024, same: onWay},
	KindBarred:   {name: "barred", keep: 2 * time.Hour, most: 256, same: onWay, lasting: true},
	KindTrial:    {name: "trial", keep: 5 * time.Second, most: 256, same: onWay},
	// Endpoints name their limits in each answer; once in a while is news enough.
	KindLimit: {name: "limit", keep: time.Minute, most: 1024, same: 5 * time.Second, lasting: true},
	KindSent:  {name: "sent", keep: 20 * time.Second, most: 4096, same: onWay},
	// Slow engines are asked again each second; one that nobody asks any more is forgotten.
	KindPace: {name: "pace", keep: 3 * time.Second, most: 4096, same: onWay},
}

// String returns the kind's name as logs and metrics write it.
func (kind Kind) String() string { return rules[kind].name }

// Subject is what a fact is about.
type Subject [16]byte

// SubjectOf is the subject of facts about an endpoint.
func SubjectOf(endpoint peridotpath.EndpointKey) Subject {
	var subject Subject
	binary.BigEndian.PutUint64(subject[:], uint64(endpoint))
	return subject
}

// Fact is one thing that an instance saw.
type Fact struct {
	Kind    Kind
	Subject Subject
	Detail  uint64
	Value   float64
	// At is when it was seen, on this instance's monotonic clock.
	At time.Time
	// From is the instance that this one has it from.
	From peridotpath.InstanceID
}

type key struct {
	kind    Kind
	subject Subject
	detail  uint64
}

func (fact *Fact) key() key { return key{fact.Kind, fact.Subject, fact.Detail} }

type entry struct {
	fact Fact
	// tellings counts how often it has been told, due is when it is next.
	tellings int
	due      time.Time
}

const (
	// tellings is how often a fact is told, so that lost datagrams cost nothing but
	// time, and tellPause the pause after the first telling, which doubles each time.
	tellings  = 5
	tellPause = 100 * time.Millisecond
	// tellMost bounds the facts of one digest, which goes out in one datagram.
	tellMost = 64
)

// Table holds facts. Set the exported fields before use.
type Table struct {
	// Changed, when set, is called when there is something to tell.
	Changed func()

	mutex sync.Mutex
	facts map[key]*entry
	// about holds the same facts by subject.
	about  map[Subject]map[key]*entry
	counts [kinds]atomic.Int64
	// due is when the next fact is to be told.
	due time.Time
}

// Has reports whether any fact of a kind is held. It costs a request next to nothing.
func (table *Table) Has(kind Kind) bool { return table.counts[kind].Load() > 0 }

// Knows reports whether there is any fact about the subject.
func (table *Table) Knows(subject Subject) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return len(table.about[subject]) > 0
}

// Learn takes in what this instance saw itself.
func (table *Table) Learn(fact Fact) {
	table.take(fact, true)
	if table.Changed != nil {
		table.Changed()
	}
}

// Hear takes in what a peer tells. What comes from another cell is told in this one.
func (table *Table) Hear(told []Fact, handOn bool) {
	news := false
	for _, fact := range told {
		if fact.Kind > 0 && fact.Kind < kinds {
			news = table.take(fact, handOn) || news
		}
	}
	if news && handOn && table.Changed != nil {
		table.Changed()
	}
}

// take keeps the newer of two facts, and reports whether it is new.
func (table *Table) take(fact Fact, tell bool) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known := table.facts[fact.key()]
	if known != nil && !fact.At.After(known.fact.At.Add(rules[fact.Kind].same)) && (fact.Value == known.fact.Value || !fact.At.After(known.fact.At)) {
		return false
	}
	added := &entry{fact: fact, tellings: tellings}
	if tell {
		added.tellings, added.due = 0, fact.At
		table.due = time.Time{}
	}
	table.put(added)
	table.bound(fact.Kind, fact.At)
	return true
}

func (table *Table) put(added *entry) {
	if table.facts == nil {
		table.facts, table.about = map[key]*entry{}, map[Subject]map[key]*entry{}
	}
	name, subject := added.fact.key(), added.fact.Subject
	if table.facts[name] == nil {
		table.counts[name.kind].Add(1)
	}
	if table.about[subject] == nil {
		table.about[subject] = map[key]*entry{}
	}
	table.facts[name], table.about[subject][name] = added, added
}

func (table *Table) drop(key key) {
	delete(table.facts, key)
	table.counts[key.kind].Add(-1)
	delete(table.about[key.subject], key)
	if len(table.about[key.subject]) == 0 {
		delete(table.about, key.subject)
	}
}

// bound forgets what is over of a kind of which there is too much, and then the oldest.
func (table *Table) bound(kind Kind, now time.Time) {
	rule := rules[kind]
	if table.counts[kind].Load() <= int64(rule.most) {
		return
	}
	var kept []*entry
	for key, entry := range table.facts {
		if key.kind != kind {
			continue
		}
		if now.Sub(entry.fact.At) > rule.keep {
			table.drop(key)
			continue
		}
		kept = append(kept, entry)
	}
	if len(kept) <= rule.most {
		return
	}
	oldest := slices.MinFunc(kept, func(a, b *entry) int { return a.fact.At.Compare(b.fact.At) })
	table.drop(oldest.fact.key())
	telemetry.FactForgotten(kind.String())
}

// All returns the facts of a kind that are not over, in no order.
func (table *Table) All(kind Kind, now time.Time) []Fact {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return ofKind(table.facts, kind, now)
}

// About returns the facts of a kind about a subject that are not over, in no order.
func (table *Table) About(kind Kind, subject Subject, now time.Time) []Fact {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return ofKind(table.about[subject], kind, now)
}

func ofKind(entries map[key]*entry, kind Kind, now time.Time) []Fact {
	var all []Fact
	for key, entry := range entries {
		if key.kind == kind && now.Sub(entry.fact.At) <= rules[kind].keep {
			all = append(all, entry.fact)
		}
	}
	return all
}

// Get returns the fact of a kind about a subject and a detail.
func (table *Table) Get(kind Kind, subject Subject, detail uint64, now time.Time) (Fact, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	entry := table.facts[key{kind, subject, detail}]
	if entry == nil || now.Sub(entry.fact.At) > rules[kind].keep {
		return Fact{}, false
	}
	return entry.fact, true
}

// Tell returns what is to be told now. With again, lasting facts are told that have
// been told before.
func (table *Table) Tell(now time.Time, again bool) []Fact {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if !again && now.Before(table.due) {
		return nil
	}
	var due []*entry
	for key, entry := range table.facts {
		rule := rules[key.kind]
		switch {
		case now.Sub(entry.fact.At) > rule.keep:
			table.drop(key)
		case entry.tellings < tellings && !now.Before(entry.due), again && rule.lasting:
			due = append(due, entry)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.tellings, b.tellings), b.fact.At.Compare(a.fact.At))
	})
	told := make([]Fact, 0, min(len(due), tellMost))
	for _, entry := range due[:min(len(due), tellMost)] {
		if entry.tellings < tellings {
			entry.due = now.Add(tellPause << entry.tellings)
			entry.tellings++
		}
		told = append(told, entry.fact)
	}
	table.due = table.nextDue(now)
	return told
}

// nextDue returns when the next fact is to be told; long after now where there is none.
func (table *Table) nextDue(now time.Time) time.Time {
	next := now.Add(time.Hour)
	for _, entry := range table.facts {
		if entry.tellings < tellings && entry.due.Before(next) {
			next = entry.due
		}
	}
	return next
}
