package peer

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/peer/wire"
)

const (
	// startPeers is how many instances one asks that holds no configuration.
	// The highest revision among several is newer than that of one chosen by
	// chance, and more would cost the readers 850 restarts a day times each.
	startPeers = 3
	// rememberedRevisions is how many states of the configuration an instance
	// knows by hash: those of some minutes at 39,000 changes a day.
	rememberedRevisions = 128
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

// Peers asks other instances for documents above have; it is config.Store.Peers.
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
	clock.Pause(ctx, refusedPause)
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
	if !digest.Readable(reply.GetVersion()) {
		return config.Update{}, ErrVersion.New("changes: protocol %d", reply.GetVersion().GetProtocol())
	}
	return unpackUpdate(reply)
}

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

// packer deflates documents: a shard of customers shrinks to a quarter. It
// keeps the latest form of each, because a change goes to every follower of a
// reader and deflating costs it more than all else about a change.
type packer struct {
	mu     sync.Mutex
	byName map[config.DocumentName]packed
}

type packed struct {
	hash     uint64
	deflated []byte
}

func (packer *packer) pack(update config.Update) (*wire.ChangesReply, error) {
	reply := &wire.ChangesReply{Version: digest.Version(), AgeMs: uint64(max(update.AgeMS, 0))}
	for _, document := range update.Documents {
		deflated, err := packer.document(document)
		if err != nil {
			return nil, err
		}
		reply.Documents = append(reply.Documents, &wire.Document{Name: string(document.Name), Deflated: deflated})
	}
	return reply, nil
}

func (packer *packer) document(document config.Document) ([]byte, error) {
	hash := xxhash.Sum64(document.Text)
	packer.mu.Lock()
	defer packer.mu.Unlock()
	if found, ok := packer.byName[document.Name]; ok && found.hash == hash {
		return found.deflated, nil
	}
	deflated, err := deflate(document.Text)
	if err != nil {
		return nil, err
	}
	if packer.byName == nil {
		packer.byName = map[config.DocumentName]packed{}
	}
	packer.byName[document.Name] = packed{hash, deflated}
	return deflated, nil
}

func deflate(text []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := writer.Write(text); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}

func unpackUpdate(reply *wire.ChangesReply) (config.Update, error) {
	update := config.Update{AgeMS: peridotpath.Millis(reply.AgeMs)}
	for _, document := range reply.Documents {
		reader := flate.NewReader(bytes.NewReader(document.Deflated))
		text, err := io.ReadAll(io.LimitReader(reader, keyvalue.MaxValue+1))
		if err != nil || len(text) > keyvalue.MaxValue {
			return config.Update{}, Error.New("document %q: %d bytes: %v", document.Name, len(text), err)
		}
		update.Documents = append(update.Documents, config.Document{Name: config.DocumentName(document.Name), Text: text})
	}
	return update, nil
}
