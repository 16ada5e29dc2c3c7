package main

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/membership"
	"peridotpath.example/peridotpath/share"
)

func customer(i int) *peridotpath.Customer {
	id := peridotpath.CustomerID(fmt.Sprintf("customer-%05d", i))
	return &peridotpath.Customer{ID: id, KeySHA256: peridotpath.HashKey(string(id)), Weight: 1, MaxRequestsPerS: 100, MaxConcurrent: 200}
}

// documents returns the stored form of the customers, by document.
func documents(count int, revision peridotpath.Revision) map[config.DocumentName][]byte {
	type item struct {
		Name     string                `json:"name"`
		Revision peridotpath.Revision  `json:"revision"`
		Value    *peridotpath.Customer `json:"value"`
	}
	items := map[config.DocumentName][]item{}
	for i := range count {
		made := customer(i)
		name := config.DocumentOf(config.KindCustomer, string(made.ID))
		items[name] = append(items[name], item{string(made.ID), revision, made})
	}
	texts := map[config.DocumentName][]byte{}
	for name, list := range items {
		text, err := json.Marshal(map[string]any{"revision": revision, "items": list})
		if err != nil {
			panic(err)
		}
		texts[name] = text
	}
	return texts
}

func load(count int) (*config.Store, *keyvalue.Store) {
	kv := (&memory.Memory{}).Store()
	for name, text := range documents(count, 1) {
		if _, err := kv.Swap(context.Background(), config.KeyPrefix+string(name), 0, text, 0); err != nil {
			panic(err)
		}
	}
	store := &config.Store{KeyValue: kv}
	if _, err := store.Load(context.Background()); err != nil {
		panic(err)
	}
	return store, kv
}

func configCosts() []experiment {
	sizes := []int{2000, 8000, 16_000, 34_000}
	return []experiment{
		{Name: "configuration in memory", Unit: "B", Per: "customer", Sizes: sizes, Measure: configMemory},
		{Name: "configuration loaded at a start", Unit: "µs", Per: "customer", Sizes: sizes, Measure: func(size int) float64 {
			return processorTime(func() { load(size) })
		}},
		{Name: "a changed document put in force", Unit: "µs", Per: "customer of 256 documents", Sizes: sizes, Measure: changeTime},
		{Name: "a document as it is stored", Unit: "B", Per: "customer of the document", Sizes: []int{16, 33, 66, 133, 266}, Measure: func(size int) float64 {
			return float64(len(oneDocument(size)))
		}},
		{Name: "a document as it travels", Unit: "B", Per: "customer of the document", Sizes: []int{16, 33, 66, 133, 266}, Measure: func(size int) float64 {
			return float64(len(deflate(oneDocument(size))))
		}},
		{Name: "a document deflated for one follower", Unit: "µs", Per: "customer of the document", Sizes: []int{16, 33, 66, 133, 266}, Measure: func(size int) float64 {
			text := oneDocument(size)
			const times = 50
			return processorTime(func() {
				for range times {
					deflate(text)
				}
			}) / times
		}},
	}
}

// configMemory leaves the stand-in of the platform out.
func configMemory(size int) float64 {
	return heapOf(func() any {
		store, kv := load(size)
		*kv = keyvalue.Store{}
		return store
	})
}

// changeTime is what one changed document costs an instance that follows.
func changeTime(size int) float64 {
	store, kv := load(size)
	var next config.Document
	kv.List = func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
		return nil, 0, keyvalue.ErrUnavailable.New("")
	}
	store.Peers = func(context.Context, config.Revisions, time.Duration) ([]config.Update, error) {
		return []config.Update{{Documents: []config.Document{next}}}, nil
	}
	const times = 50
	name := config.DocumentOf(config.KindCustomer, string(customer(0).ID))
	var texts [times][]byte
	for round := range texts {
		texts[round] = documents(size, peridotpath.Revision(round+2))[name]
	}
	return processorTime(func() {
		for _, text := range texts {
			next = config.Document{Name: name, Text: text}
			if _, err := store.Load(context.Background()); err != nil {
				panic(err)
			}
		}
	}) / times
}

func oneDocument(size int) []byte {
	items := make([]map[string]any, size)
	for i := range items {
		made := customer(i)
		items[i] = map[string]any{"name": made.ID, "revision": i, "value": made}
	}
	text, err := json.Marshal(map[string]any{"revision": 12, "items": items})
	if err != nil {
		panic(err)
	}
	return text
}

func deflate(text []byte) []byte {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		panic(err)
	}
	if _, err := writer.Write(text); err != nil {
		panic(err)
	}
	if err := writer.Close(); err != nil {
		panic(err)
	}
	return packed.Bytes()
}

func memberCosts() []experiment {
	sizes := []int{50, 800, 3000, 12_500}
	list := func(size int) []byte {
		text, err := json.Marshal(membership.List{Revision: 7, Instances: instances(size / 24), Endpoints: endpoints(size - size/24)})
		if err != nil {
			panic(err)
		}
		return text
	}
	return []experiment{
		{Name: "membership list on the wire", Unit: "B", Per: "member", Sizes: sizes, Measure: func(size int) float64 {
			return float64(len(list(size)))
		}},
		{Name: "membership list decoded", Unit: "µs", Per: "member", Sizes: sizes, Measure: func(size int) float64 {
			text := list(size)
			const times = 5
			return processorTime(func() {
				for range times {
					var got membership.List
					if err := json.Unmarshal(text, &got); err != nil {
						panic(err)
					}
				}
			}) / times
		}},
	}
}

func customerCosts() []experiment {
	sizes := []int{500, 2000, 8000, 34_000}
	limiter := func(size int) (*share.Limiter, []*peridotpath.Customer) {
		made := &share.Limiter{
			Peers:   func() []share.Peer { return make([]share.Peer, peers-1) },
			Publish: func(peridotpath.CustomerID, float64) {},
			Keep:    func(func(peridotpath.CustomerID) bool) {},
		}
		customers := make([]*peridotpath.Customer, size)
		for i := range customers {
			customers[i] = customer(i)
			made.Allow(start, customers[i], 0)
		}
		return made, customers
	}
	return []experiment{
		{Name: "shares in memory", Unit: "B", Per: "active customer", Sizes: sizes, Measure: func(size int) float64 {
			return heapOf(func() any {
				made, _ := limiter(size)
				return made
			})
		}},
		{Name: "shares computed once", Unit: "µs", Per: "active customer", Sizes: sizes, Measure: func(size int) float64 {
			made, _ := limiter(size)
			const times = 10
			return processorTime(func() {
				for range times {
					made.Divide(start, share.Interval)
				}
			}) / times
		}},
		{Name: "limit checked, 34,000 customers", Unit: "µs", Per: "request", Sizes: []int{50_000, 100_000, 200_000, 400_000}, Measure: func(size int) float64 {
			made, customers := limiter(34_000)
			return processorTime(func() {
				for i := range size {
					made.Allow(start, customers[i*7919%len(customers)], 0)
				}
			})
		}},
	}
}

func requestCosts() []experiment {
	return []experiment{
		{Name: "placed and ended, 750 endpoints", Unit: "µs", Per: "request", Sizes: []int{5000, 10_000, 20_000, 40_000}, Measure: func(size int) float64 {
			return placeTime(750, size)
		}},
		{Name: "100 requests placed and ended", Unit: "µs", Per: "endpoint", Sizes: []int{50, 250, 750, 1500, 3000}, Measure: func(size int) float64 {
			return placeTime(size, 20_000) / 200
		}},
		{Name: "fleet's endpoints replaced", Unit: "µs", Per: "endpoint", Sizes: []int{250, 750, 1500, 3000}, Measure: func(size int) float64 {
			scheduler, list := scheduler(size), endpoints(size)
			const times = 20
			return processorTime(func() {
				for range times {
					scheduler.SetEndpoints(start, list)
				}
			}) / times
		}},
		{Name: "events of a stream read", Unit: "µs", Per: "event", Sizes: []int{100_000, 200_000, 400_000, 800_000}, Measure: eventTime},
		{Name: "event sent, relayed and read, three processes' work", Unit: "µs", Per: "event", Sizes: []int{5000, 10_000, 20_000, 40_000}, Measure: relayTime},
	}
}

func scheduler(size int) *decide.Scheduler {
	made := &decide.Scheduler{}
	made.SetEndpoints(start, endpoints(size))
	for i, endpoint := range endpoints(size) {
		made.Report(start, endpoint.ID, loadOf(i, 1))
	}
	return made
}

func placeTime(size, requests int) float64 {
	made := scheduler(size)
	profile := &peridotpath.Profile{Name: "counter", Service: "claims-llm", Idempotent: true}
	profile.Defaults()
	who := customer(1)
	who.MaxRequestsPerS, who.MaxConcurrent = 100_000, 1_000_000
	return processorTime(func() {
		now := start
		for range requests {
			now = now.Add(25 * time.Millisecond) // 40 requests a second
			work := &decide.Work{
				Customer: who, Profile: profile, Prompt: 2000, Output: 100, Arrived: now, Deadline: now.Add(time.Minute),
			}
			decision := made.Submit(now, work)
			if decision.Verdict != decide.Place {
				panic(fmt.Sprint("not placed: ", decision.Result))
			}
			made.FirstToken(now, work)
			made.Done(now, work, decide.Finished, 100)
		}
	})
}

func event(i int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"text\":\"t%d \",\"delta\":{\"content\":\"t%d \"}}]}\n\n", i, i, i)
}

func eventTime(size int) float64 {
	var text bytes.Buffer
	for i := range size {
		text.WriteString(event(i))
	}
	return processorTime(func() {
		events := engine.Read(&text)
		for range size {
			if _, err := events.Next(); err != nil {
				panic(err)
			}
		}
	})
}

// relayTime is what it costs to send an event, to relay and to read it: engine,
// instance and caller in one process, each event in a segment of its own.
func relayTime(size int) float64 {
	_, source, stopSource := serve(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		for i := range size {
			send(writer, []byte(event(i)))
		}
	}))
	defer stopSource()
	_, relay, stopRelay := serve(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		read(source, func(data []byte) { send(writer, data, []byte("\n\n")) })
	}))
	defer stopRelay()
	return processorTime(func() { read(relay, func([]byte) {}) })
}

func send(writer http.ResponseWriter, parts ...[]byte) {
	for _, part := range parts {
		if _, err := writer.Write(part); err != nil {
			panic(err)
		}
	}
	if err := http.NewResponseController(writer).Flush(); err != nil {
		panic(err)
	}
}

func read(address netip.AddrPort, take func(data []byte)) {
	response, err := http.Get("http://" + address.String())
	if err != nil {
		panic(err)
	}
	defer response.Body.Close()
	events := engine.Read(response.Body)
	for event, err := events.Next(); err == nil; event, err = events.Next() {
		take(append([]byte("data: "), event.Data...))
	}
}
