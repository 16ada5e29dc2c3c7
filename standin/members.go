package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/membership"
)

const membersUsage = `members [-address IP:PORT] -fleet FILE [-lag DURATION]
  Plays the platform's membership list. FILE holds the list as JSON.
  POST /members/state {"id": "...", "state": "live|leaving|gone"} changes a member.
  POST /members/flap {"id": "...", "every_ms": 500, "times": 10} has a member come and go.
`

type membersCommand struct {
	address string
	fleet   string
	lag     time.Duration
}

func (*membersCommand) Name() string     { return "members" }
func (*membersCommand) Synopsis() string { return "plays the platform's membership list" }
func (*membersCommand) Usage() string    { return membersUsage }

func (command *membersCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.address, "address", "127.0.0.1:7002", "where to listen")
	flags.StringVar(&command.fleet, "fleet", "", "file with the membership list")
	flags.DurationVar(&command.lag, "lag", 500*time.Millisecond, "how late readers see a change")
}

func (command *membersCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(command.fleet)
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin members: %v\n", err)
		return subcommands.ExitFailure
	}
	members := &members{lag: command.lag}
	if err := json.Unmarshal(text, &members.list); err != nil {
		fmt.Fprintf(os.Stderr, "standin members: %s: %v\n", command.fleet, err)
		return subcommands.ExitFailure
	}
	members.seen = []reading{{list: members.list}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+membership.Path, members.get)
	mux.HandleFunc("POST "+membership.Path+"/state", members.setState)
	mux.HandleFunc("POST "+membership.Path+"/flap", members.flap)
	return serve(ctx, command.Name(), command.address, mux)
}

// members is the list, changed by hand. Readers see it late.
type members struct {
	lag time.Duration

	mu   sync.Mutex
	list membership.List
	// seen holds the readings that are still to be shown, oldest first.
	seen []reading
}

// reading is the list from one moment on.
type reading struct {
	list membership.List
	at   time.Time
}

func (members *members) get(writer http.ResponseWriter, _ *http.Request) {
	members.mu.Lock()
	defer members.mu.Unlock()
	until := time.Now().Add(-members.lag)
	for len(members.seen) > 1 && !members.seen[1].at.After(until) {
		members.seen = members.seen[1:]
	}
	_ = json.NewEncoder(writer).Encode(&members.seen[0].list)
}

// stateGone takes a member off the list.
const stateGone = "gone"

type stateChange struct {
	ID    string            `json:"id"`
	State peridotpath.State `json:"state"`
}

func (members *members) setState(writer http.ResponseWriter, request *http.Request) {
	var change stateChange
	if err := json.NewDecoder(request.Body).Decode(&change); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	members.mu.Lock()
	defer members.mu.Unlock()
	members.change(change)
}

// change makes a new list; readings that are still to be shown share nothing with it.
func (members *members) change(change stateChange) {
	members.list.Revision++
	members.list.Endpoints = changed(members.list.Endpoints, func(endpoint *peridotpath.Endpoint) (string, *peridotpath.State) {
		return string(endpoint.ID), &endpoint.State
	}, change)
	members.list.Instances = changed(members.list.Instances, func(instance *peridotpath.Instance) (string, *peridotpath.State) {
		return string(instance.ID), &instance.State
	}, change)
	members.seen = append(members.seen, reading{list: members.list, at: time.Now()})
}

// changed returns a copy of the list with the change made and what is gone left
// out. part names a member and says where its state is.
func changed[M any](list []M, part func(*M) (id string, state *peridotpath.State), change stateChange) []M {
	var kept []M
	for _, member := range list {
		id, state := part(&member)
		if id == change.ID {
			*state = change.State
		}
		if *state != stateGone {
			kept = append(kept, member)
		}
	}
	return kept
}

// flapping asks for a member whose state changes all the time.
type flapping struct {
	ID      string             `json:"id"`
	EveryMS peridotpath.Millis `json:"every_ms"`
	Times   int                `json:"times"`
}

// flap has a member leave and come back Times times, or until the call ends.
func (members *members) flap(writer http.ResponseWriter, request *http.Request) {
	var flapping flapping
	if err := json.NewDecoder(request.Body).Decode(&flapping); err != nil || flapping.EveryMS <= 0 {
		http.Error(writer, "not a flapping", http.StatusBadRequest)
		return
	}
	ticker := time.NewTicker(flapping.EveryMS.Duration())
	defer ticker.Stop()
	states := [...]peridotpath.State{peridotpath.StateLeaving, peridotpath.StateLive}
	for i := range 2 * flapping.Times {
		members.mu.Lock()
		members.change(stateChange{ID: flapping.ID, State: states[i%len(states)]})
		members.mu.Unlock()
		select {
		case <-ticker.C:
		case <-request.Context().Done():
			return
		}
	}
}
