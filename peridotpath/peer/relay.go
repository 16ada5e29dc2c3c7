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
	// startPeers is how many instances one asks that holds no configuration.
	// The highest revision among several is newer than that of one chosen by
	// chance, and more would cost the readers 850 restarts a day times each.
	startPeers = 3
	// refusedPause spaces the questions after a document that was refused here.
	refusedPause = time.Second
)

// Relay follows the configuration at other instances. Set the exported fields
// before Peers is used.
type Relay struct {
	// Readers returns the instances of the data centre that watch the platform,
	// and Others all of its live instances; neither contains this one.
	Readers func() []peridotpath.Instance
	Others  func() []peridotpath.Instance
	Changes func(ctx context.Context, peer peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error)

	mu       sync.Mutex
	followed peridotpath.InstanceID
	// refused is the hash of the revisions that an answer with documents did
	// not change; zero when the last one did.
	refused uint64
	asked   uint64
}

// Peers asks other instances for documents above have; it is config.Store.FetchFromPeers.
func (relay *Relay) Peers(ctx context.Context, have config.Revisions, wait time.Duration) ([]config.Update, error) {
	others := relay.Others()
	if len(others) == 0 {
		return nil, config.ErrNoPeers.New("")
	}
	if wait > 0 {
		wait -= relay.hold(ctx, hashRevisions(have))
		update, err := relay.follow(ctx, have, max(wait, 0))
		relay.note(update)
		return []config.Update{update}, err
	}
	return relay.askSeveral(ctx, have, others)
}

// hold waits when the last answer had documents and none was put in force, and
// returns for how long.
//
// A newer version may write a document that this one refuses. The reader then
// has it for us again at once, and without the wait the two would hand it back
// and forth as fast as the network lets them.
func (relay *Relay) hold(ctx context.Context, have uint64) time.Duration {
	relay.mu.Lock()
	same := relay.refused == have
	relay.asked = have
	relay.mu.Unlock()
	if !same {
		return 0
	}
	clock.SleepContext(ctx, refusedPause)
	return refusedPause
}

func (relay *Relay) note(update config.Update) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.refused = 0
	if len(update.Documents) > 0 {
		relay.refused = relay.asked
	}
}

// follow asks the reader that was followed last, or another one at random when
// that one failed or is no longer a reader.
func (relay *Relay) follow(ctx context.Context, have config.Revisions, wait time.Duration) (config.Update, error) {
	readers := relay.Readers()
	if len(readers) == 0 {
		return config.Update{}, Error.New("no reader is listed")
	}
	relay.mu.Lock()
	at := slices.IndexFunc(readers, func(reader peridotpath.Instance) bool { return reader.ID == relay.followed })
	if at < 0 {
		at = rand.N(len(readers))
	}
	relay.followed = readers[at].ID
	relay.mu.Unlock()
	update, err := relay.ask(ctx, readers[at], have, wait)
	if err != nil {
		relay.mu.Lock()
		relay.followed = ""
		relay.mu.Unlock()
	}
	return update, err
}

func (relay *Relay) askSeveral(ctx context.Context, have config.Revisions, others []peridotpath.Instance) ([]config.Update, error) {
	chosen := slices.Clone(others)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	chosen = chosen[:min(len(chosen), startPeers)]
	updates := make([]config.Update, len(chosen))
	failures := make([]error, len(chosen))
	var group sync.WaitGroup
	for i, peer := range chosen {
		group.Go(func() { updates[i], failures[i] = relay.ask(ctx, peer, have, 0) })
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

func (relay *Relay) ask(ctx context.Context, peer peridotpath.Instance, have config.Revisions, wait time.Duration) (config.Update, error) {
	request := &wire.ChangesRequest{Version: digest.Version(), Have: hashRevisions(have), WaitMs: uint32(wait.Milliseconds())}
	reply, err := relay.Changes(ctx, peer, request)
	if err == nil && reply.SendRevisions {
		request.Revisions = packRevisions(have)
		reply, err = relay.Changes(ctx, peer, request)
	}
	if err != nil {
		return config.Update{}, err
	}
	if !digest.IsReadable(reply.GetVersion()) {
		return config.Update{}, ErrVersion.New("changes: protocol %d", reply.GetVersion().GetProtocol())
	}
	return unpackUpdate(reply)
}
