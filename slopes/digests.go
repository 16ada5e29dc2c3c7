package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/fleet"
	"peridotpath.example/peridotpath/ownership"
	"peridotpath.example/peridotpath/peer"
	"peridotpath.example/peridotpath/peer/wire"
)

// peers is the number of instances of a data centre at the target size.
const peers = 33

var start = time.Unix(1_000_000, 0)

func endpoints(count int) []peridotpath.Endpoint {
	list := make([]peridotpath.Endpoint, count)
	for i := range list {
		list[i] = peridotpath.Endpoint{
			ID: peridotpath.EndpointID(fmt.Sprintf("dc-07-claims-llm-%05d", i)), Service: "claims-llm",
			Kind: peridotpath.KindEngine, DataCentre: "dc-07", State: peridotpath.StateLive, KVTokens: 400_000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000),
		}
	}
	return list
}

func instances(count int) []peridotpath.Instance {
	list := make([]peridotpath.Instance, count)
	for i := range list {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000)
		list[i] = peridotpath.Instance{
			ID: peridotpath.InstanceID(fmt.Sprintf("dc-07-entry-%04d", i)), Incarnation: peridotpath.Incarnation(i),
			DataCentre: "dc-07", State: peridotpath.StateLive, Caller: address, Peer: address,
		}
	}
	return list
}

// loadOf is a load that differs between endpoints and rounds.
func loadOf(i, round int) peridotpath.Load {
	return peridotpath.Load{
		AsOf: start, Running: 5 + (i+round)%24, Waiting: (i * round) % 5,
		PrefillTokens: peridotpath.Tokens(1000 * ((i + 7*round) % 90)), KVUsed: peridotpath.Tokens(3000 * ((i + 11*round) % 130)),
		KVTokens: 400_000, PrefillPerS: 10_000, DecodePerS: 33, Revision: uint64(1_000_000 + round),
	}
}

func ownershipCosts() []experiment {
	scope := ownership.Scope{Self: "dc-07-entry-0001", DataCentre: "dc-07", Buckets: 64, Readers: 2}
	return []experiment{
		{
			Name: "owner table, 33 instances", Unit: "µs", Per: "endpoint", Sizes: []int{100, 250, 500, 750, 1500},
			Measure: func(size int) float64 {
				list, members := endpoints(size), instances(peers)
				const times = 50
				return processorTime(func() {
					for range times {
						ownership.New(scope, members, list)
					}
				}) / times
			},
		},
		{
			Name: "owner table, 750 endpoints", Unit: "µs", Per: "instance", Sizes: []int{8, 16, 33, 66, 132},
			Measure: func(size int) float64 {
				list, members := endpoints(750), instances(size)
				const times = 50
				return processorTime(func() {
					for range times {
						ownership.New(scope, members, list)
					}
				}) / times
			},
		},
	}
}

func digestCosts() []experiment {
	return []experiment{
		{
			Name: "digest with named entries", Unit: "B", Per: "endpoint", Sizes: []int{4, 16, 32, 64, 128},
			Measure: func(size int) float64 {
				book := &digest.Book{Epoch: 1}
				put(book, size, 0)
				return float64(proto.Size(book.Digest(start, 0, 0)))
			},
		},
		{
			Name: "digest with changed entries", Unit: "B", Per: "changed endpoint", Sizes: []int{4, 16, 32, 64, 128},
			Measure: func(size int) float64 {
				book := &digest.Book{Epoch: 1}
				put(book, size, 0)
				seen := book.Digest(start, 0, 0).Sequence
				put(book, size, 1)
				return float64(proto.Size(book.Digest(start, 1, seen)))
			},
		},
		{
			Name: "digest written and applied", Unit: "µs", Per: "changed endpoint", Sizes: []int{4, 16, 32, 64, 128},
			Measure: digestTime,
		},
		{Name: "exchange over HTTP, both ends", Unit: "µs", Per: "changed endpoint", Sizes: []int{0, 8, 23, 64, 128}, Measure: exchangeTime},
		{Name: "exchange over HTTP, both ways", Unit: "B", Per: "changed endpoint", Sizes: []int{0, 8, 23, 64, 128}, Measure: exchangeBytes},
		{Name: "reading load reports, both ends", Unit: "µs", Per: "reading", Sizes: []int{200, 400, 800, 1600}, Measure: func(size int) float64 {
			micros, _ := readReports(size)
			return micros
		}},
		{Name: "reading load reports, both ways", Unit: "B", Per: "reading", Sizes: []int{200, 400, 800, 1600}, Measure: func(size int) float64 {
			_, bytes := readReports(size)
			return bytes
		}},
		{Name: "view and mirror of the fleet", Unit: "B", Per: "endpoint", Sizes: []int{500, 1000, 2000, 4000, 12_000}, Measure: viewMemory},
		{Name: "list of streams", Unit: "B", Per: "stream", Sizes: []int{4, 16, 64, 256}, Measure: streamBytes},
	}
}

func put(book *digest.Book, size, round int) {
	for i, endpoint := range endpoints(size) {
		book.PutEndpoint(endpoint.ID, loadOf(i, round))
	}
}

func digestTime(size int) float64 {
	book, mirror := &digest.Book{Epoch: 1}, &digest.Mirror{}
	const times = 500
	return processorTime(func() {
		for round := range times {
			put(book, size, round)
			epoch, seen := mirror.Seen()
			text, err := proto.Marshal(book.Digest(start, epoch, seen))
			if err != nil {
				panic(err)
			}
			got := &wire.Digest{}
			if err := proto.Unmarshal(text, got); err != nil {
				panic(err)
			}
			mirror.Apply(start, got)
		}
	}) / times
}

// counted counts the bytes of a server's connections, both ways.
type counted struct {
	net.Listener
	bytes atomic.Int64
}

type countedConnection struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept wraps the next connection.
func (counted *counted) Accept() (net.Conn, error) {
	connection, err := counted.Listener.Accept()
	return &countedConnection{connection, &counted.bytes}, err
}

// Read counts what comes in.
func (connection *countedConnection) Read(buffer []byte) (int, error) {
	n, err := connection.Conn.Read(buffer)
	connection.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (connection *countedConnection) Write(buffer []byte) (int, error) {
	n, err := connection.Conn.Write(buffer)
	connection.bytes.Add(int64(n))
	return n, err
}

// serve serves the handler on loopback; stop ends it.
func serve(handler http.Handler) (listener *counted, address netip.AddrPort, stop func()) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	listener = &counted{Listener: inner}
	server := &http.Server{Handler: handler} //nolint:gosec // loopback, for the time of a measurement
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	return listener, netip.MustParseAddrPort(inner.Addr().String()), func() {
		server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}
}

// exchanges makes exchanges in each of which size entries change at each end.
func exchanges(size int) (micros, bytes float64) {
	here, there := &digest.Book{Epoch: 1}, &digest.Book{Epoch: 2}
	answering := &peer.Exchanger{Self: "there", Book: there, Report: func(time.Time, peridotpath.EndpointID, peridotpath.Load) {}}
	listener, address, stop := serve((&peer.Service{Exchanger: answering}).Handler())
	defer stop()
	client, mirror := &peer.Client{}, &digest.Mirror{}
	instance := peridotpath.Instance{ID: "there", Peer: address}
	var epoch, acked uint64
	exchange := func(round int) {
		put(here, size, round)
		put(there, size, round)
		sent := here.Digest(start, epoch, acked)
		sent.Instance = "here"
		sent.SeenEpoch, sent.Seen = mirror.Seen()
		got, err := client.Exchange(context.Background(), instance, sent)
		if err != nil {
			panic(err)
		}
		mirror.Apply(start, got)
		epoch, acked = got.SeenEpoch, got.Seen
	}
	exchange(0)
	exchange(1)
	const times = 200
	before := listener.bytes.Load()
	micros = processorTime(func() {
		for round := range times {
			exchange(round + 2)
		}
	}) / times
	return micros, float64(listener.bytes.Load()-before) / times
}

func exchangeTime(size int) float64 {
	micros, _ := exchanges(size)
	return micros
}

func exchangeBytes(size int) float64 {
	_, bytes := exchanges(size)
	return bytes
}

func readReports(count int) (micros, bytes float64) {
	listener, address, stop := serve(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(loadOf(3, 4))
	}))
	defer stop()
	client := &engine.Client{Instance: "dc-07-entry-0001", Incarnation: peridotpath.Incarnation(start.UnixNano())}
	micros = processorTime(func() {
		for range count {
			if _, err := client.Load(context.Background(), address); err != nil {
				panic(err)
			}
		}
	})
	return micros, float64(listener.bytes.Load())
}

func viewMemory(size int) float64 {
	list := endpoints(size)
	return heapOf(func() any {
		view := &fleet.View{
			Publish: func(time.Time, []peridotpath.Endpoint) {},
			Load:    func(time.Time, peridotpath.EndpointID, peridotpath.Load) {},
		}
		view.SetMembers(start, list)
		book, mirror := &digest.Book{Epoch: 1}, &digest.Mirror{}
		put(book, size, 0)
		for held := uint64(0); held < uint64(size); _, held = mirror.Seen() {
			mirror.Apply(start, book.Digest(start, 1, held))
		}
		return []any{view, book, mirror}
	})
}

func streamBytes(size int) float64 {
	list := make([]engine.StreamInfo, size)
	for i := range list {
		list[i] = engine.StreamInfo{
			ID: fmt.Sprintf("%016x", i*7919), RequestID: "7f9c24e8-3b12-4fef-91e0-5a2b7c8d9e0f", Instance: "dc-07-entry-0001",
			Incarnation: peridotpath.Incarnation(start.UnixNano()), KVTokens: 12_345, DetachedMS: peridotpath.Millis(i % 9000),
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return float64(len(text))
}
