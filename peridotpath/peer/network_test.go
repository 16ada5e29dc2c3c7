package peer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/fleet"
	"peridotpath.example/peridotpath/ownership"
	"peridotpath.example/peridotpath/peer"
	"peridotpath.example/peridotpath/peer/wire"
)

// network connects instances in one process. Each call is delayed by latency. Calls between
// partitioned instances, or between an instance and a partitioned endpoint, time out.
type network struct {
	nodes   []*node
	engines []*fakeEngine

	mu          sync.Mutex
	partitioned map[[2]string]bool
	// unreadableVersion contains the instances that send messages of a protocol version that
	// the others cannot read.
	unreadableVersion map[peridotpath.InstanceID]bool
}

type fakeEngine struct {
	peridotpath.Endpoint
	mu              sync.Mutex
	load            peridotpath.Load
	readsByInstance map[peridotpath.InstanceID]int
}

// node is one instance with its view of the fleet.
type node struct {
	peridotpath.Instance
	network   *network
	owners    ownership.Owners
	exchanger *peer.Exchanger
	poller    *fleet.Poller
	view      *fleet.View
	published *digest.PublishedState

	mu        sync.Mutex
	random    rand.PCG
	others    []peridotpath.Instance
	endpoints map[peridotpath.EndpointID]peridotpath.Endpoint
	loads     map[peridotpath.EndpointID]peridotpath.Load
	bytes     int
}

const latency = 2 * time.Millisecond

var errNoAnswer = errors.New("no answer")

func newNetwork(t *testing.T, instances, engines int) *network {
	t.Helper()
	network := &network{partitioned: map[[2]string]bool{}, unreadableVersion: map[peridotpath.InstanceID]bool{}}
	for i := range engines {
		id := peridotpath.EndpointID(fmt.Sprintf("engine-%03d", i))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		network.engines = append(network.engines, &fakeEngine{
			Endpoint:        peridotpath.Endpoint{ID: id, Kind: peridotpath.KindEngine, State: peridotpath.StateLive, Address: address},
			load:            peridotpath.Load{KVTokens: 400_000, PrefillPerS: 10_000, DecodePerS: 50},
			readsByInstance: map[peridotpath.InstanceID]int{},
		})
	}
	for i := range instances {
		network.addNode(fmt.Sprintf("instance-%d", i))
	}
	network.setMembers(network.nodes)
	return network
}

func (network *network) addNode(id string) *node {
	created := &node{
		Instance: peridotpath.Instance{ID: peridotpath.InstanceID(id), DataCentre: "colombo-a", State: peridotpath.StateLive},
		network:  network, loads: map[peridotpath.EndpointID]peridotpath.Load{},
	}
	created.owners.Scope = ownership.Scope{Self: created.ID, DataCentre: "colombo-a", BucketCount: 16, ReaderCount: 2}
	created.published = &digest.PublishedState{Epoch: uint64(time.Now().UnixNano()) + uint64(len(network.nodes))}
	created.view = &fleet.View{OnChange: created.publish, OnLoad: created.report}
	created.random.Seed(uint64(len(network.nodes)), 7)
	created.exchanger = &peer.Exchanger{
		Self: created.ID, Published: created.published, Peers: created.peers, SendDigest: created.sendDigest, OnReport: created.view.ApplyReport,
		Random: created.randomFloat,
	}
	created.poller = &fleet.Poller{
		View: created.view, Published: created.published, FetchLoad: created.fetchLoad, Random: created.randomFloat,
		IsOwner: func(id peridotpath.EndpointID) bool { return created.owners.Current().OwnsEndpoint(id) },
	}
	network.nodes = append(network.nodes, created)
	return created
}

func (node *node) randomFloat() float64 {
	node.mu.Lock()
	defer node.mu.Unlock()
	return rand.New(&node.random).Float64()
}

// setMembers gives all nodes the same membership list.
func (network *network) setMembers(nodes []*node) {
	for _, node := range network.nodes {
		node.setMembers(nodes, network.endpoints())
	}
}

func (network *network) endpoints() []peridotpath.Endpoint {
	var endpoints []peridotpath.Endpoint
	for _, engine := range network.engines {
		endpoints = append(endpoints, engine.Endpoint)
	}
	return endpoints
}

func (node *node) setMembers(nodes []*node, endpoints []peridotpath.Endpoint) {
	var all, others []peridotpath.Instance
	for _, other := range nodes {
		all = append(all, other.Instance)
		if other != node {
			others = append(others, other.Instance)
		}
	}
	node.mu.Lock()
	node.others = others
	node.mu.Unlock()
	node.owners.Update(all, endpoints)
	node.view.SetMembers(time.Now(), endpoints)
}

func (node *node) peers() []peridotpath.Instance {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.others
}

func (node *node) publish(_ time.Time, endpoints []peridotpath.Endpoint) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.endpoints = map[peridotpath.EndpointID]peridotpath.Endpoint{}
	for _, endpoint := range endpoints {
		node.endpoints[endpoint.ID] = endpoint
	}
}

func (node *node) report(_ time.Time, id peridotpath.EndpointID, load peridotpath.Load) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.loads[id] = load
}

func (node *node) load(id peridotpath.EndpointID) peridotpath.Load {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.loads[id]
}

func (node *node) state(id peridotpath.EndpointID) peridotpath.State {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.endpoints[id].State
}

func (network *network) reachable(a, b string) bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	return !network.partitioned[[2]string{a, b}] && !network.partitioned[[2]string{b, a}]
}

func (network *network) setPartitioned(a, b string, partitioned bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.partitioned[[2]string{a, b}] = partitioned
}

// setIsolated partitions a node from all other instances, or reconnects it.
func (network *network) setIsolated(node *node, isolated bool) {
	for _, other := range network.nodes {
		network.setPartitioned(string(node.ID), string(other.ID), isolated)
	}
}

func (node *node) sendDigest(ctx context.Context, other peridotpath.Instance, sent *wire.Digest) (*wire.Digest, error) {
	time.Sleep(latency)
	if !node.network.reachable(string(node.ID), string(other.ID)) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sent = proto.Clone(sent).(*wire.Digest)
	if node.network.unreadableVersion[node.ID] {
		sent.Version = &wire.Version{Protocol: 9, ReadableBy: 9}
	}
	for _, callee := range node.network.nodes {
		if callee.ID != other.ID {
			continue
		}
		answer, err := callee.exchanger.HandleDigest(time.Now(), sent)
		if err != nil {
			return nil, err
		}
		answer = proto.Clone(answer).(*wire.Digest)
		if node.network.unreadableVersion[callee.ID] {
			answer.Version = &wire.Version{Protocol: 9, ReadableBy: 9}
		}
		node.countBytes(sent, answer)
		callee.countBytes(sent, answer)
		time.Sleep(latency)
		return answer, nil
	}
	return nil, errNoAnswer
}

func (node *node) countBytes(sent, answer *wire.Digest) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.bytes += proto.Size(sent) + proto.Size(answer) + peer.MessageOverheadBytes
}

func (node *node) fetchLoad(ctx context.Context, address netip.AddrPort) (peridotpath.Load, error) {
	time.Sleep(latency)
	for _, engine := range node.network.engines {
		if engine.Address != address {
			continue
		}
		if !node.network.reachable(string(node.ID), string(engine.ID)) {
			<-ctx.Done()
			return peridotpath.Load{}, ctx.Err()
		}
		engine.mu.Lock()
		defer engine.mu.Unlock()
		engine.readsByInstance[node.ID]++
		engine.load.Revision++
		return engine.load, nil
	}
	return peridotpath.Load{}, errNoAnswer
}

func (engine *fakeEngine) updateLoad(change func(load *peridotpath.Load)) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	change(&engine.load)
}

func (engine *fakeEngine) resetReads() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	clear(engine.readsByInstance)
}

func (engine *fakeEngine) readerCount() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return len(engine.readsByInstance)
}

// start runs every node until the returned function is called.
func (network *network) start(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2*len(network.nodes))
	for _, node := range network.nodes {
		go func() { ended <- node.exchanger.Run(ctx) }()
		go func() { ended <- node.poller.Run(ctx) }()
	}
	return func() {
		cancel()
		for range cap(ended) {
			if err := <-ended; !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		}
	}
}
