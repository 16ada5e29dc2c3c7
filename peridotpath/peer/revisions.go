package peer

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/peer/wire"
)

// rememberedRevisions is how many states of the configuration an instance
// knows by hash: those of some minutes at 39,000 changes a day.
const rememberedRevisions = 128

// hashRevisions hashes the set of revisions, whatever the order.
func hashRevisions(revisions config.Revisions) uint64 {
	var sum uint64
	for name, revision := range revisions {
		sum += xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), uint64(revision)))
	}
	// Zero is what a message without the field has.
	return cmp.Or(sum, 1)
}

func packRevisions(revisions config.Revisions) map[string]uint64 {
	packed := make(map[string]uint64, len(revisions))
	for name, revision := range revisions {
		packed[string(name)] = uint64(revision)
	}
	return packed
}

// knownRevisions remembers by hash what followers have, so that they need not
// send 258 revisions with each question.
type knownRevisions struct {
	mu     sync.Mutex
	byHash map[uint64]config.Revisions
	order  []uint64
}

// resolve returns the revisions that the asker has; false when they must be sent.
func (known *knownRevisions) resolve(request *wire.ChangesRequest) (config.Revisions, bool) {
	known.mu.Lock()
	defer known.mu.Unlock()
	if found, ok := known.byHash[request.Have]; ok {
		return found, true
	}
	have := make(config.Revisions, len(request.Revisions))
	for name, revision := range request.Revisions {
		have[config.DocumentName(name)] = peridotpath.Revision(revision)
	}
	// An asker that has nothing sends no revisions, and the hash says so.
	if hashRevisions(have) != request.Have {
		return nil, false
	}
	known.add(request.Have, have)
	return have, true
}

// remember notes what the asker has once it took in the update.
func (known *knownRevisions) remember(have config.Revisions, update config.Update) {
	if len(update.Documents) == 0 {
		return
	}
	next := maps.Clone(have)
	for _, document := range update.Documents {
		if revision, err := revisionOf(document); err == nil {
			next[document.Name] = revision
		}
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	known.add(hashRevisions(next), next)
}

func revisionOf(document config.Document) (peridotpath.Revision, error) {
	var head struct {
		Revision peridotpath.Revision `json:"revision"`
	}
	err := json.Unmarshal(document.Text, &head)
	return head.Revision, err
}

func (known *knownRevisions) add(hash uint64, have config.Revisions) {
	if known.byHash == nil {
		known.byHash = map[uint64]config.Revisions{}
	}
	if _, ok := known.byHash[hash]; ok {
		return
	}
	known.byHash[hash] = have
	known.order = append(known.order, hash)
	if len(known.order) > rememberedRevisions {
		delete(known.byHash, known.order[0])
		known.order = known.order[1:]
	}
}
