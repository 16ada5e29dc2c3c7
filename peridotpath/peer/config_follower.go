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
	// start. The newest documents of several peers are mostly newer than those of one. Each
	// further peer adds one request to each of 850 restarts per day.
	maxStartPeers = 3
	// unappliedRetryDelay delays the next request after a document that was not applied.
	unappliedRetryDelay = time.Second
)

// ConfigFollower fetches the configuration from other instances. Set the exported fields before
// the first call of a method.
type ConfigFollower struct {
	// ConfigReaders returns the instances that watch the configuration on the platform, without
	// this one.
	ConfigReaders func() []peridotpath.Instance
	// OtherInstances returns all live instances without this one.
	OtherInstances func() []peridotpath.Instance
	// FetchChanges sends a request to a peer and returns the reply; see Client.FetchChanges.
	FetchChanges func(ctx context.Context, peer peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error)

	mu             sync.Mutex
	followedReader peridotpath.InstanceID
	// unappliedHash is the revisions hash of the last request if its reply had documents,
	// else zero. If the next request has the same hash, no document was applied.
	unappliedHash   uint64
	lastRequestHash uint64
}

// FetchFromPeers returns the documents of other instances that are newer than have. If wait
// is positive, it long-polls one reader, else it polls several random instances at once.
func (configFollower *ConfigFollower) FetchFromPeers(ctx context.Context, have config.Revisions, wait time.Duration) ([]config.Update, error) {
	others := configFollower.OtherInstances()
	if len(others) == 0 {
		return nil, config.ErrNoPeers.New("")
	}
	if wait > 0 {
		wait -= configFollower.delayIfUnapplied(ctx, hashRevisions(have))
		update, err := configFollower.pollReader(ctx, have, max(wait, 0))
		configFollower.recordUpdate(update)
		return []config.Update{update}, err
	}
	return configFollower.pollRandomPeers(ctx, have, others)
}

// delayIfUnapplied sleeps for unappliedRetryDelay if the last reply had documents and none of
// them was applied, and returns the time slept.
//
// A newer version may write a document that this version rejects. The reader would then send
// the document again in reply to each request, and the follower would repeat its request without
// a pause.
func (configFollower *ConfigFollower) delayIfUnapplied(ctx context.Context, have uint64) time.Duration {
	configFollower.mu.Lock()
	unapplied := configFollower.unappliedHash == have
	configFollower.lastRequestHash = have
	configFollower.mu.Unlock()
	if !unapplied {
		return 0
	}
	clock.SleepContext(ctx, unappliedRetryDelay)
	return unappliedRetryDelay
}

// recordUpdate sets unappliedHash to the hash of the last request if the update has documents,
// else to zero.
func (configFollower *ConfigFollower) recordUpdate(update config.Update) {
	configFollower.mu.Lock()
	defer configFollower.mu.Unlock()
	configFollower.unappliedHash = 0
	if len(update.Documents) > 0 {
		configFollower.unappliedHash = configFollower.lastRequestHash
	}
}

// pollReader polls the same reader as the last time, or a random one if that poll failed or
// the instance is no longer a reader.
func (configFollower *ConfigFollower) pollReader(ctx context.Context, have config.Revisions, wait time.Duration) (config.Update, error) {
	readers := configFollower.ConfigReaders()
	if len(readers) == 0 {
		return config.Update{}, Error.New("no other live instance is a configuration reader")
	}
	configFollower.mu.Lock()
	index := slices.IndexFunc(readers, func(reader peridotpath.Instance) bool { return reader.ID == configFollower.followedReader })
	if index < 0 {
		index = rand.N(len(readers))
	}
	configFollower.followedReader = readers[index].ID
	configFollower.mu.Unlock()
	update, err := configFollower.fetchUpdate(ctx, readers[index], have, wait)
	if err != nil {
		configFollower.mu.Lock()
		configFollower.followedReader = ""
		configFollower.mu.Unlock()
	}
	return update, err
}

// pollRandomPeers polls up to maxStartPeers instances concurrently and returns the updates of
// those that replied.
func (configFollower *ConfigFollower) pollRandomPeers(ctx context.Context, have config.Revisions, others []peridotpath.Instance) ([]config.Update, error) {
	chosenPeers := slices.Clone(others)
	rand.Shuffle(len(chosenPeers), func(i, j int) { chosenPeers[i], chosenPeers[j] = chosenPeers[j], chosenPeers[i] })
	chosenPeers = chosenPeers[:min(len(chosenPeers), maxStartPeers)]
	updates := make([]config.Update, len(chosenPeers))
	failures := make([]error, len(chosenPeers))
	var group sync.WaitGroup
	for i, peer := range chosenPeers {
		group.Go(func() { updates[i], failures[i] = configFollower.fetchUpdate(ctx, peer, have, 0) })
	}
	group.Wait()
	var receivedUpdates []config.Update
	for i, err := range failures {
		if err == nil {
			receivedUpdates = append(receivedUpdates, updates[i])
		}
	}
	if len(receivedUpdates) == 0 {
		return nil, errs.Combine(failures...)
	}
	return receivedUpdates, nil
}

// fetchUpdate sends the hash of the revisions, and the revisions themselves if the peer has not
// cached them.
func (configFollower *ConfigFollower) fetchUpdate(ctx context.Context, peer peridotpath.Instance, have config.Revisions, wait time.Duration) (config.Update, error) {
	request := &wire.ChangesRequest{Version: digest.Version(), Have: hashRevisions(have), WaitMs: uint32(wait.Milliseconds())}
	reply, err := configFollower.FetchChanges(ctx, peer, request)
	if err == nil && reply.SendRevisions {
		request.Revisions = encodeRevisions(have)
		reply, err = configFollower.FetchChanges(ctx, peer, request)
	}
	if err != nil {
		return config.Update{}, err
	}
	if !digest.IsReadable(reply.GetVersion()) {
		return config.Update{}, ErrUnreadableVersion.New("changes: protocol %d", reply.GetVersion().GetProtocol())
	}
	return decodeUpdate(reply)
}
