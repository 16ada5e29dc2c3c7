package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/membership"
)

const membersUsage = `members [-address IP:PORT] -fleet FILE
  Plays the platform's membership list. FILE holds the list as JSON.
  POST /members/state {"id": "...", "state": "live|leaving|gone"} changes a member.
`

type membersCommand struct {
	address string
	fleet   string
}

func (*membersCommand) Name() string     { return "members" }
func (*membersCommand) Synopsis() string { return "plays the platform's membership list" }
func (*membersCommand) Usage() string    { return membersUsage }

func (command *membersCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.address, "address", "127.0.0.1:7002", "where to listen")
	flags.StringVar(&command.fleet, "fleet", "", "file with the membership list")
}

func (command *membersCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(command.fleet)
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin members: %v\n", err)
		return subcommands.ExitFailure
	}
	members := &members{}
	if err := json.Unmarshal(text, &members.list); err != nil {
		fmt.Fprintf(os.Stderr, "standin members: %s: %v\n", command.fleet, err)
		return subcommands.ExitFailure
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+membership.Path, members.get)
	mux.HandleFunc("POST "+membership.Path+"/state", members.setState)
	return serve(ctx, command.Name(), command.address, mux)
}

// members is the list, changed by hand.
type members struct {
	mu   sync.Mutex
	list membership.List
}

func (members *members) get(writer http.ResponseWriter, _ *http.Request) {
	members.mu.Lock()
	defer members.mu.Unlock()
	_ = json.NewEncoder(writer).Encode(&members.list)
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
	members.list.Revision++
	var endpoints []peridotpath.Endpoint
	for _, endpoint := range members.list.Endpoints {
		if string(endpoint.ID) == change.ID {
			if change.State == stateGone {
				continue
			}
			endpoint.State = change.State
		}
		endpoints = append(endpoints, endpoint)
	}
	members.list.Endpoints = endpoints
	var instances []peridotpath.Instance
	for _, instance := range members.list.Instances {
		if string(instance.ID) == change.ID {
			if change.State == stateGone {
				continue
			}
			instance.State = change.State
		}
		instances = append(instances, instance)
	}
	members.list.Instances = instances
}
