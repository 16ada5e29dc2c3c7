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

// maxCachedRevisions is the number of configuration states that an instance can look up by
// hash. It covers several minutes at 39,000 changes per day.
const maxCachedRevisions = 128

// hashRevisions returns a hash of the set of revisions. It does not depend on their order and
// is never zero.
func hashRevisions(revisions config.Revisions) uint64 {
	var sum uint64
	for name, revision := range revisions {
		sum += xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), uint64(revision)))
	}
	// Zero is the value of the field when it is absent from a message.
	return cmp.Or(sum, 1)
}

func encodeRevisions(revisions config.Revisions) map[string]uint64 {
	encoded := make(map[string]uint64, len(revisions))
	for name, revision := range revisions {
		encoded[string(name)] = uint64(revision)
	}
	return encoded
}

// revisionCache maps a hash to the set of revisions that a follower has, so that followers
// send the hash instead of 258 revisions with each request.
type revisionCache struct {
	mu          sync.Mutex
	byHash      map[uint64]config.Revisions
	oldestFirst []uint64
}

// resolve returns the revisions of the instance that sent the request, or false if the hash is
// unknown and the request does not contain them.
func (revisionCache *revisionCache) resolve(request *wire.ChangesRequest) (config.Revisions, bool) {
	revisionCache.mu.Lock()
	defer revisionCache.mu.Unlock()
	if found, ok := revisionCache.byHash[request.Have]; ok {
		return found, true
	}
	have := make(config.Revisions, len(request.Revisions))
	for name, revision := range request.Revisions {
		have[config.DocumentName(name)] = peridotpath.Revision(revision)
	}
	// A follower without any document sends no revisions; the hash of the empty set matches.
	if hashRevisions(have) != request.Have {
		return nil, false
	}
	revisionCache.add(request.Have, have)
	return have, true
}

// addUpdated caches the revisions that the follower will have once it has applied the update.
func (revisionCache *revisionCache) addUpdated(have config.Revisions, update config.Update) {
	if len(update.Documents) == 0 {
		return
	}
	updated := maps.Clone(have)
	for _, document := range update.Documents {
		if revision, err := parseRevision(document); err == nil {
			updated[document.Name] = revision
		}
	}
	revisionCache.mu.Lock()
	defer revisionCache.mu.Unlock()
	revisionCache.add(hashRevisions(updated), updated)
}

func parseRevision(document config.Document) (peridotpath.Revision, error) {
	var head struct {
		Revision peridotpath.Revision `json:"revision"`
	}
	err := json.Unmarshal(document.Text, &head)
	return head.Revision, err
}

func (revisionCache *revisionCache) add(hash uint64, have config.Revisions) {
	if revisionCache.byHash == nil {
		revisionCache.byHash = map[uint64]config.Revisions{}
	}
	if _, ok := revisionCache.byHash[hash]; ok {
		return
	}
	revisionCache.byHash[hash] = have
	revisionCache.oldestFirst = append(revisionCache.oldestFirst, hash)
	if len(revisionCache.oldestFirst) > maxCachedRevisions {
		delete(revisionCache.byHash, revisionCache.oldestFirst[0])
		revisionCache.oldestFirst = revisionCache.oldestFirst[1:]
	}
}
