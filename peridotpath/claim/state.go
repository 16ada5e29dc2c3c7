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

// recordOverhead is the maximum number of bytes that a record's field tag and length take
// in its bucket.
const recordOverhead = 4

// keyID identifies an idempotency key of a customer: a truncated hash of both.
type keyID [16]byte

// attemptID identifies one attempt of one process of an instance to claim a key.
type attemptID struct {
	instance    peridotpath.InstanceID
	incarnation peridotpath.Incarnation
	number      uint64
}

func attemptIDOf(record *ledgerpb.Record) attemptID {
	return attemptID{
		instance:    peridotpath.InstanceID(record.GetInstance()),
		incarnation: peridotpath.Incarnation(record.GetIncarnation()),
		number:      record.GetAttempt(),
	}
}

// state is one version of a bucket. Records are immutable, so clones share them.
type state struct {
	version keyvalue.Version
	records map[keyID]*ledgerpb.Record
	// sizeBytes is the encoded size of the records, including answers; answerBytes is the part
	// that the answers take.
	sizeBytes   int
	answerBytes int
	// hasRestoredRecords reports that records were added that the store had lost.
	hasRestoredRecords bool
}

// decode decodes a bucket's value. It returns an error for a value that was written with
// another number of buckets: keys would be looked up in the wrong bucket, not found, and
// run again.
func decode(entry keyvalue.Entry, buckets int) (*state, error) {
	state := &state{version: entry.Version, records: map[keyID]*ledgerpb.Record{}}
	if entry.Version == 0 {
		return state, nil
	}
	value := &ledgerpb.Bucket{}
	if err := proto.Unmarshal(entry.Value, value); err != nil {
		return nil, Error.New("value of %s is not a bucket: %v", entry.Key, err)
	}
	if int(value.GetBuckets()) != buckets {
		return nil, Error.New("value of %s was written for %d buckets; this ledger has %d", entry.Key, value.GetBuckets(), buckets)
	}
	for _, record := range value.GetRecords() {
		if len(record.GetKey()) != len(keyID{}) {
			return nil, Error.New("value of %s has a record key of %d bytes", entry.Key, len(record.GetKey()))
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
	state.sizeBytes += proto.Size(record) + recordOverhead
	state.answerBytes += proto.Size(record.GetAnswer())
}

func (state *state) remove(key keyID) {
	if record := state.records[key]; record != nil {
		state.sizeBytes -= proto.Size(record) + recordOverhead
		state.answerBytes -= proto.Size(record.GetAnswer())
		delete(state.records, key)
	}
}

// update replaces the record by a modified copy.
func (state *state) update(record *ledgerpb.Record, modify func(*ledgerpb.Record)) {
	changed := proto.CloneOf(record)
	modify(changed)
	state.put(keyID(record.GetKey()), changed)
}

// expire removes the records that were last changed before the given time.
func (state *state) expire(before time.Time) {
	for key, record := range state.records {
		if record.GetStamp() < before.Unix() {
			state.remove(key)
		}
	}
}

// evictAnswers removes stored answers, oldest first, once the size exceeds the limit.
//
// It matters when the keys of a retention time nearly fill the bucket. A record prevents a
// second run, while an answer only saves a caller an "answer gone" result, so answers are
// removed before claims are refused. It continues down to an eighth below the limit, so
// that a full bucket is not sorted at every write.
func (state *state) evictAnswers(limit int) {
	if state.sizeBytes <= limit {
		return
	}
	oldest := slices.SortedFunc(maps.Values(state.records), func(a, b *ledgerpb.Record) int {
		return int(a.GetStamp() - b.GetStamp())
	})
	for _, record := range oldest {
		if state.sizeBytes <= limit-limit/8 {
			return
		}
		if record.GetAnswer() != nil {
			state.update(record, func(record *ledgerpb.Record) { record.Answer = nil })
		}
	}
}

func toProto(answer *Answer) *ledgerpb.Answer {
	message := &ledgerpb.Answer{Status: uint32(answer.Status), Body: answer.Body}
	for _, name := range slices.Sorted(maps.Keys(answer.Header)) {
		for _, value := range answer.Header[name] {
			message.Headers = append(message.Headers, &ledgerpb.Header{Name: name, Value: value})
		}
	}
	return message
}

func fromProto(message *ledgerpb.Answer) *Answer {
	answer := &Answer{Status: int(message.GetStatus()), Header: http.Header{}, Body: message.GetBody()}
	for _, header := range message.GetHeaders() {
		answer.Header.Add(header.GetName(), header.GetValue())
	}
	return answer
}
