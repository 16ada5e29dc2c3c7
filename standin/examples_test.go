package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/faults"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/membership"
	"peridotpath.example/peridotpath/settings"
	"peridotpath.example/standin/load"
)

var deployments = []string{"claims", "transcription"}

func examplePath(t *testing.T, deployment, name string) string {
	t.Helper()
	return filepath.Join("..", "examples", deployment, name)
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The demo and operators' first deployments use the example files: each must be accepted
// by the code that reads it, and the files must be consistent.
func TestExamples(t *testing.T) {
	for _, deployment := range deployments {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			store := (&memory.Memory{}).Store()
			is.NoErr(writeConfig(t.Context(), store, examplePath(t, deployment, "config.json")))
			reader := &config.Store{KeyValue: store}
			snapshot, err := reader.Load(t.Context())
			is.NoErr(err)

			var list membership.List
			decoder := json.NewDecoder(bytes.NewReader(readFile(t, examplePath(t, deployment, "fleet.json"))))
			decoder.DisallowUnknownFields()
			is.NoErr(decoder.Decode(&list))
			services := map[string]bool{}
			for _, endpoint := range list.Endpoints {
				services[string(endpoint.Service)] = true
			}
			for _, profile := range snapshot.Config.Profiles {
				is.True(services[string(profile.Service)]) // a profile's service is not in the fleet
			}
			for i, instance := range list.Instances {
				read, err := settings.Read(examplePath(t, deployment, "instance-"+string(rune('1'+i))+".json"))
				is.NoErr(err)
				is.Equal(read.InstanceID, instance.ID)
				is.Equal(read.DataCentre, instance.DataCentre)
				is.Equal(read.CallerAddress, instance.Caller)
				is.Equal(read.PeerAddress, instance.Peer)
			}
			plans, err := filepath.Glob(examplePath(t, deployment, "*.json"))
			is.NoErr(err)
			for _, path := range plans {
				if !gjson.GetBytes(readFile(t, path), "work").Exists() {
					continue
				}
				plan, faults := load.ParsePlan(readFile(t, path))
				is.NoErr(faults.OrNil())
				for _, key := range plan.Keys {
					is.True(snapshot.Config.CustomerByKey(key) != nil) // a key of the plan belongs to no customer
				}
				for _, work := range plan.Work {
					profile := snapshot.Config.Profile(string(work.Profile))
					is.True(profile != nil)
					is.Equal(profile.DeadlineMS, work.DeadlineMS)
					is.Equal(profile.Idempotent, work.Idempotent)
				}
			}
		})
	}
}

// An outage rejects writes; a lost reply leaves the write applied.
func TestKeyValueFaults(t *testing.T) {
	is := is.New(t)
	command := &keyValueCommand{}
	store := (&memory.Memory{Fault: command.injectFault}).Store()
	write := func(key string) error {
		_, err := store.Swap(context.Background(), key, 0, []byte("v"), keyvalue.LeaseID{})
		return err
	}
	version := func(key string) keyvalue.Version {
		entry, err := store.Get(context.Background(), key)
		is.NoErr(err)
		return entry.Version
	}
	command.faults.Set(faults.Fault{Kind: faults.Outage})
	is.True(write("a") != nil)
	command.faults.Clear()
	is.Equal(version("a"), keyvalue.Version(0)) // a write got through the outage
	command.faults.Set(faults.Fault{Kind: faults.CloseUnanswered, Count: 1})
	is.True(write("b") != nil)
	is.True(version("b") > 0) // the write whose reply was lost was not applied
}
