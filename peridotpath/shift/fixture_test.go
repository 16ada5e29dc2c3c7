package shift_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/engine/enginetest"
	"peridotpath.example/peridotpath/fleet"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/lease"
	"peridotpath.example/peridotpath/order"
	"peridotpath.example/peridotpath/shift"
)

const (
	service          = peridotpath.Service("lipi-model")
	dataCentre       = peridotpath.DataCentre("kolkata-hall")
	longPromptTokens = 1_000_000
	groupIdleTimeout = 5 * time.Minute
)

// cell is a data centre with engines, a key-value store and instances.
type cell struct {
	t                *testing.T
	keyValue         memory.Memory
	network          enginetest.Network
	engines          []*enginetest.Engine
	endpoints        []peridotpath.Endpoint
	tasks            sync.WaitGroup
	cancel           context.CancelFunc
	groupIdleTimeout time.Duration
	engineReads      atomic.Int64

	mu        sync.Mutex
	instances []*instance
}

// instance is one process with the components that long prompts need.
type instance struct {
	dispatcher *dispatch.Dispatcher
	counter    *shift.DemandCounter
	holder     *lease.Holder
	link       memory.Link
	cancel     context.CancelFunc
}

func newCell(t *testing.T, engines, instances int, groupIdleTimeout time.Duration) *cell {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cell := &cell{t: t, cancel: cancel, groupIdleTimeout: groupIdleTimeout}
	for i := range engines {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7100)
		fake := &enginetest.Engine{
			Name: fmt.Sprintf("e%d", i), KVTokens: 400_000, PrefillPerS: 200_000, DecodePerS: 100, ChecksFencing: true,
		}
		cell.engines = append(cell.engines, fake)
		cell.endpoints = append(cell.endpoints, peridotpath.Endpoint{
			ID: peridotpath.EndpointID(fake.Name), Service: service, Kind: peridotpath.KindEngine,
			DataCentre: dataCentre, Address: address, State: peridotpath.StateLive, KVTokens: 400_000, ChecksFencing: true,
		})
		cell.network.Serve(address.String(), fake.Handler())
		cell.goRun(ctx, fake.Run)
	}
	for i := range instances {
		cell.instances = append(cell.instances, cell.start(ctx, fmt.Sprintf("i%d", i)))
	}
	return cell
}

// goRun runs a task until the cell is closed.
func (cell *cell) goRun(ctx context.Context, task func(context.Context) error) {
	cell.tasks.Go(func() { _ = task(ctx) })
}

func (cell *cell) close() {
	cell.cancel()
	cell.network.Close()
	cell.tasks.Wait()
}

func (cell *cell) start(ctx context.Context, name string) *instance {
	ctx, cancel := context.WithCancel(ctx)
	client := &engine.Client{Instance: peridotpath.InstanceID(name), Do: cell.network.Do}
	started := &instance{cancel: cancel}
	store := started.link.Store(&cell.keyValue)
	scheduler := &decide.Scheduler{Seed: uint64(len(cell.instances) + 1)}
	scheduler.SetInstances(2)
	view := &fleet.View{Log: zerolog.Nop(), OnChange: scheduler.SetEndpoints, OnLoad: scheduler.ApplyReport}
	poller := &fleet.Poller{
		View: view, Published: &digest.PublishedState{Epoch: 1}, FetchLoad: client.FetchLoad,
		IsOwner: func(peridotpath.EndpointID) bool { return true },
	}
	started.dispatcher = &dispatch.Dispatcher{
		Scheduler: scheduler, Log: zerolog.Nop(), ResumeWindow: 10 * time.Second,
		Send: client.Send, Resume: client.Resume, Cancel: client.Cancel, OnEndpointDraining: view.RecordRefusal,
	}
	started.counter = &shift.DemandCounter{Store: store, Interval: 2 * time.Second}
	started.holder = &lease.Holder{
		Store: store, Key: lease.Key(dataCentre, service), Instance: peridotpath.InstanceID(name),
		Settings: lease.Settings{TTLMS: 30_000, MarginMS: 3_000, LongestOrderMS: 12_000},
		Logger:   zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	engines := &shift.EngineClient{Client: client, Endpoints: func() []peridotpath.Endpoint { return cell.endpoints }}
	desired := &order.DesiredStore{Store: store, Key: order.Key(dataCentre, service)}
	reconciler := &order.Reconciler{
		Desired: desired.Get, Held: started.holder.Held, Endpoints: engines.Endpoints,
		ReadState: engines.ReadState, SendOrder: engines.SendOrder, Settings: order.Settings{LongestOrderMS: 12_000},
		Logger: zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	controller := &shift.Controller{
		Log: zerolog.Nop(), Store: store, DataCentre: dataCentre, Service: service, DesiredStore: desired,
		Held: started.holder.Held, ReadEngines: cell.countReads(engines.ReadEngines), Interval: 2 * time.Second,
		Limits:          shift.Limits{GroupIdleTimeout: cell.groupIdleTimeout},
		MaxPromptTokens: func() peridotpath.Tokens { return 1_100_000 },
		Sites:           func() []shift.Site { return []shift.Site{{DataCentre: dataCentre, Engines: len(cell.endpoints)}} },
	}
	view.SetMembers(time.Now(), cell.endpoints)
	for _, task := range []func(context.Context) error{
		poller.Run, started.dispatcher.Run, started.counter.Run, started.holder.Run, reconciler.Run, controller.Run,
	} {
		cell.goRun(ctx, task)
	}
	return started
}

// kill stops an instance without releasing its lease, as SIGKILL does.
func (instance *instance) kill() {
	instance.link.SetFaults(func(string) memory.Fault { return memory.Fault{NotSent: true} })
	instance.cancel()
}

// answer is the outcome of one prompt.
type answer struct {
	result           *peridotpath.Result
	timeToFirstToken time.Duration
	totalTime        time.Duration
	tokens           int
	refusals         int
}

// sendUntilAnswered sends a prompt through an instance and retries it after each RetryAfter until
// its deadline.
func (cell *cell) sendUntilAnswered(index int, id string, tokens, output peridotpath.Tokens, deadline time.Duration) answer {
	class := peridotpath.ClassOf(tokens, 400_000)
	profile := &peridotpath.Profile{Name: "volume", Service: service, Idempotent: true, DeadlineMS: peridotpath.Millis(deadline.Milliseconds())}
	if class == peridotpath.Short {
		profile.Priority = 9
	}
	profile.Defaults()
	customer := &peridotpath.Customer{ID: "scholar"}
	customer.Defaults()
	text := fmt.Appendf(nil, `{"stream":true,"max_tokens":%d,"prompt":"%s %s"}`, output, id, bytes.Repeat([]byte("leaf "), int(tokens)*4/5))
	begin := time.Now()
	var answer answer
	for {
		instance := cell.instanceAt(index)
		now := time.Now()
		work := &decide.Work{
			ID: peridotpath.RequestID(id), Customer: customer, Profile: profile, Class: class,
			PromptTokens: tokens, MaxOutputTokens: output, ArrivedAt: now, Deadline: begin.Add(deadline),
		}
		if class == peridotpath.Oversize {
			instance.counter.RecordPrompt(service, tokens)
		}
		sink := &dispatch.Sink{
			BeginAnswer: func(http.Header, peridotpath.EndpointID, string) { answer.timeToFirstToken = time.Since(begin) },
			WriteEvent: func(_ int64, data []byte) error {
				if gjson.GetBytes(data, "choices.0.text").String() != "" {
					answer.tokens++
				}
				return nil
			},
		}
		request := &dispatch.Request{Work: work, Path: engine.PathCompletions, Body: engine.NewBody(text), WantsStream: true}
		answer.result = instance.dispatcher.Do(context.Background(), request, sink)
		answer.totalTime = time.Since(begin)
		retry := answer.result != nil && answer.result.RetryAfter > 0 && answer.tokens == 0
		if !retry || answer.totalTime+answer.result.RetryAfter >= deadline {
			return answer
		}
		answer.refusals++
		time.Sleep(answer.result.RetryAfter)
		index++
	}
}

// instanceAt returns an instance in round-robin order.
func (cell *cell) instanceAt(index int) *instance {
	cell.mu.Lock()
	defer cell.mu.Unlock()
	return cell.instances[index%len(cell.instances)]
}

// disconnect disconnects an engine.
func (cell *cell) disconnect(index int) {
	cell.network.Serve(cell.endpoints[index].Address.String(), nil)
}

// duty returns the duty of an engine, or "unreachable" if it is unreachable.
func (cell *cell) duty(index int) string {
	client := &engine.Client{Do: cell.network.Do}
	state, err := client.FetchOrderState(context.Background(), cell.endpoints[index].Address)
	if err != nil {
		return "unreachable"
	}
	first, _ := state.Role.Split()
	return string(first)
}

// countReads wraps read with a counter of its calls.
func (cell *cell) countReads(read func(context.Context) ([]shift.Engine, error)) func(context.Context) ([]shift.Engine, error) {
	return func(ctx context.Context) ([]shift.Engine, error) {
		cell.engineReads.Add(1)
		return read(ctx)
	}
}
