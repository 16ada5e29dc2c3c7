package claim

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim/ledgerpb"
	"peridotpath.example/peridotpath/keyvalue"
)

// Error is the class of this package's errors that are not Results.
var Error = errs.Class("claim")

// recordOverhead is the bytes that a record takes in its bucket besides its own.
const recordOverhead = 4

// keyID stands for a customer and an idempotency key together.
type keyID [16]byte

// author names one claim of one run of one instance.
type author struct {
	instance    peridotpath.InstanceID
	incarnation peridotpath.Incarnation
	attempt     uint64
}

func authorOf(record *ledgerpb.Record) author {
	return author{
		instance:    peridotpath.InstanceID(record.GetInstance()),
		incarnation: peridotpath.Incarnation(record.GetIncarnation()),
		attempt:     record.GetAttempt(),
	}
}

// state is one version of a bucket. Records are never changed in place, so a
// clone shares them.
type state struct {
	version keyvalue.Version
	records map[keyID]*ledgerpb.Record
	// size is what the records take in the value, answers included, and answers
	// what those take.
	size    int
	answers int
	// restored says that records were added which the service has lost.
	restored bool
}

// decode reads a bucket's value. It refuses one that was written with another
// number of buckets: keys would be looked for in the wrong one, found absent,
// and run again.
func decode(entry keyvalue.Entry, buckets int) (*state, error) {
	state := &state{version: entry.Version, records: map[keyID]*ledgerpb.Record{}}
	if entry.Version == 0 {
		return state, nil
	}
	value := &ledgerpb.Bucket{}
	if err := proto.Unmarshal(entry.Value, value); err != nil {
		return nil, Error.New("%s is not a bucket: %v", entry.Key, err)
	}
	if int(value.GetBuckets()) != buckets {
		return nil, Error.New("%s was written for %d buckets, not %d", entry.Key, value.GetBuckets(), buckets)
	}
	for _, record := range value.GetRecords() {
		if len(record.GetKey()) != len(keyID{}) {
			return nil, Error.New("%s has a key of %d bytes", entry.Key, len(record.GetKey()))
		}
		state.put(keyID(record.GetKey()), record)
	}
	return state, nil
}

func (state *state) encode(buckets int) ([]byte, error) {
	value := &ledgerpb.Bucket{Buckets: uint32(buckets)}
	for _, record := range state.records {
		value.Records = append(value.Records, record)
	}
	return proto.Marshal(value)
}

func (state *state) clone() *state {
	next := *state
	next.records = maps.Clone(state.records)
	return &next
}

func (state *state) put(key keyID, record *ledgerpb.Record) {
	state.remove(key)
	state.records[key] = record
	state.size += proto.Size(record) + recordOverhead
	state.answers += proto.Size(record.GetAnswer())
}

func (state *state) remove(key keyID) {
	if record := state.records[key]; record != nil {
		state.size -= proto.Size(record) + recordOverhead
		state.answers -= proto.Size(record.GetAnswer())
		delete(state.records, key)
	}
}

// change puts a changed copy of the record in its place.
func (state *state) change(record *ledgerpb.Record, with func(*ledgerpb.Record)) {
	changed := proto.CloneOf(record)
	with(changed)
	state.put(keyID(record.GetKey()), changed)
}

// expire drops the records last changed before the cut.
func (state *state) expire(cut time.Time) {
	for key, record := range state.records {
		if record.GetStamp() < cut.Unix() {
			state.remove(key)
		}
	}
}

// shed drops stored answers, oldest first, until the size is at most limit.
//
// The load it is made for is a retention's worth of keys near the bucket's
// bound. A record protects against a second run and an answer only saves a
// caller a "gone", so answers go first and claims are refused last. It goes on
// to an eighth below the bound, lest a full bucket be sorted at every write.
func (state *state) shed(limit int) {
	if state.size <= limit {
		return
	}
	oldest := slices.SortedFunc(maps.Values(state.records), func(a, b *ledgerpb.Record) int {
		return int(a.GetStamp() - b.GetStamp())
	})
	for _, record := range oldest {
		if state.size <= limit-limit/8 {
			return
		}
		if record.GetAnswer() != nil {
			state.change(record, func(record *ledgerpb.Record) { record.Answer = nil })
		}
	}
}

func toMessage(answer *Answer) *ledgerpb.Answer {
	message := &ledgerpb.Answer{Status: uint32(answer.Status), Body: answer.Body}
	for _, name := range slices.Sorted(maps.Keys(answer.Header)) {
		for _, value := range answer.Header[name] {
			message.Headers = append(message.Headers, &ledgerpb.Header{Name: name, Value: value})
		}
	}
	return message
}

func fromMessage(message *ledgerpb.Answer) *Answer {
	answer := &Answer{Status: int(message.GetStatus()), Header: http.Header{}, Body: message.GetBody()}
	for _, header := range message.GetHeaders() {
		answer.Header.Add(header.GetName(), header.GetValue())
	}
	return answer
}
