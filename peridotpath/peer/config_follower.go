package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/peer/wire"
)

const (
	// maxStartPeers bounds the peers that an instance without a configuration polls at its
	// start. The highest revision among several is newer than that of one random peer. Each
	// further peer adds one request to each of 850 restarts per day.
	maxStartPeers = 3
	// unappliedRetryDelay delays the next request after a document that was not applied.
	unappliedRetryDelay = time.Second
)

// Relay fetches the configuration from other instances. Set the exported fields before the
// first call of a method.
type Relay struct {
	// Readers returns the instances that watch the configuration on the platform, without
	// this one.
	Readers func() []peridotpath.Instance
	// Others returns all live instances without this one.
	Others func() []peridotpath.Instance
	// Changes sends a request to a peer and returns the reply; see Client.Changes.
	Changes func(ctx context.Context, peer peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error)

	mu             sync.Mutex
	followedReader peridotpath.InstanceID
	// unappliedHash is the revisions hash of the last request if its reply had documents,
	// else zero. If the next request has the same hash, no document was applied.
	unappliedHash   uint64
	lastRequestHash uint64
}

// Peers returns the documents of other instances that are newer than have. If wait
// is positive, it long-polls one reader, else it polls several random instances at once.
func (relay *Relay) Peers(ctx context.Context, have config.Revisions, wait time.Duration) ([]config.Update, error) {
	others := relay.Others()
	if len(others) == 0 {
		return nil, config.ErrNoPeers.New("")
	}
	if wait > 0 {
		wait -= relay.delayIfUnapplied(ctx, hashRevisions(have))
		update, err := relay.pollReader(ctx, have, max(wait, 0))
		relay.recordUpdate(update)
		return []config.Update{update}, err
	}
	return relay.pollRandomPeers(ctx, have, others)
}

// delayIfUnapplied sleeps for unappliedRetryDelay if the last reply had documents and none of
// them was applied, and returns the time slept.
//
// A newer version may write a document that this version rejects. The reader would then send
// it again in reply to each request, and the two would loop without a pause.
func (relay *Relay) delayIfUnapplied(ctx context.Context, have uint64) time.Duration {
	relay.mu.Lock()
	unapplied := relay.unappliedHash == have
	relay.lastRequestHash = have
	relay.mu.Unlock()
	if !unapplied {
		return 0
	}
	clock.SleepContext(ctx, unappliedRetryDelay)
	return unappliedRetryDelay
}

// recordUpdate sets unappliedHash by the update.
func (relay *Relay) recordUpdate(update config.Update) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.unappliedHash = 0
	if len(update.Documents) > 0 {
		relay.unappliedHash = relay.lastRequestHash
	}
}

// pollReader polls the same reader as the last time, or a random one if that poll failed or
// the instance is no longer a reader.
func (relay *Relay) pollReader(ctx context.Context, have config.Revisions, wait time.Duration) (config.Update, error) {
	readers := relay.Readers()
	if len(readers) == 0 {
		return config.Update{}, Error.New("no other live instance is a configuration reader")
	}
	relay.mu.Lock()
	index := slices.IndexFunc(readers, func(reader peridotpath.Instance) bool { return reader.ID == relay.followedReader })
	if index < 0 {
		index = rand.N(len(readers))
	}
	relay.followedReader = readers[index].ID
	relay.mu.Unlock()
	update, err := relay.fetchUpdate(ctx, readers[index], have, wait)
	if err != nil {
		relay.mu.Lock()
		relay.followedReader = ""
		relay.mu.Unlock()
	}
	return update, err
}

// pollRandomPeers polls up to maxStartPeers instances concurrently and returns the updates of
// those that replied.
func (relay *Relay) pollRandomPeers(ctx context.Context, have config.Revisions, others []peridotpath.Instance) ([]config.Update, error) {
	chosen := slices.Clone(others)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	chosen = chosen[:min(len(chosen), maxStartPeers)]
	updates := make([]config.Update, len(chosen))
	failures := make([]error, len(chosen))
	var group sync.WaitGroup
	for i, peer := range chosen {
		group.Go(func() { updates[i], failures[i] = relay.fetchUpdate(ctx, peer, have, 0) })
	}
	group.Wait()
	var answered []config.Update
	for i, err := range failures {
		if err == nil {
			answered = append(answered, updates[i])
		}
	}
	if len(answered) == 0 {
		return nil, errs.Combine(failures...)
	}
	return answered, nil
}

// fetchUpdate sends the hash of the revisions, and the revisions themselves if the peer does
// not know the hash.
func (relay *Relay) fetchUpdate(ctx context.Context, peer peridotpath.Instance, have config.Revisions, wait time.Duration) (config.Update, error) {
	request := &wire.ChangesRequest{Version: digest.Version(), Have: hashRevisions(have), WaitMs: uint32(wait.Milliseconds())}
	reply, err := relay.Changes(ctx, peer, request)
	if err == nil && reply.SendRevisions {
		request.Revisions = encodeRevisions(have)
		reply, err = relay.Changes(ctx, peer, request)
	}
	if err != nil {
		return config.Update{}, err
	}
	if !digest.IsReadable(reply.GetVersion()) {
		return config.Update{}, ErrVersion.New("changes: protocol %d", reply.GetVersion().GetProtocol())
	}
	return decodeUpdate(reply)
}
