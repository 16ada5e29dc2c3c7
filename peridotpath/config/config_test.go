package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// documentJSON returns the JSON of a document with one item.
func documentJSON(t *testing.T, revision peridotpath.Revision, name string, value any) []byte {
	t.Helper()
	type item struct {
		Name     string               `json:"name"`
		Revision peridotpath.Revision `json:"revision"`
		Value    any                  `json:"value"`
	}
	text, err := json.Marshal(map[string]any{"revision": revision, "items": []item{{name, revision, value}}})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func profile(name string, aliases ...string) peridotpath.Profile {
	return peridotpath.Profile{Name: peridotpath.ProfileName(name), Service: "claims-llm", Aliases: aliases}
}

func customer(id, key string) peridotpath.Customer {
	return peridotpath.Customer{ID: peridotpath.CustomerID(id), KeySHA256: peridotpath.HashKey(key)}
}

// A watch must apply a document with a higher revision than the active one. It must not
// apply a lower revision, which the key-value service returns after it was restored from an
// old backup.
func TestFollowAppliesOnlyHigherRevisions(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		kv := (&memory.Memory{}).Store()
		version, err := kv.Swap(ctx, "config/profiles", 0, documentJSON(t, 5, "counter", profile("counter", "gpt")), keyvalue.LeaseID{})
		is.NoErr(err)
		store := &config.Store{KeyValue: kv}
		is.True(!store.Ready())
		snapshot, err := store.Load(ctx)
		is.NoErr(err)
		is.Equal(snapshot.Config.Profile("gpt").DeadlineMS, peridotpath.Millis(60_000))
		done := make(chan error, 1)
		go func() { done <- store.Run(ctx) }()

		shard := "config/" + string(config.DocumentOf(config.KindCustomer, "air"))
		_, err = kv.Swap(ctx, shard, 0, documentJSON(t, 1, "air", customer("air", "secret")), keyvalue.LeaseID{})
		is.NoErr(err)
		synctest.Wait()
		is.Equal(store.Current().Config.CustomerByKey("secret").ID, peridotpath.CustomerID("air"))

		_, err = kv.Swap(ctx, "config/profiles", version, documentJSON(t, 4, "old", profile("old")), keyvalue.LeaseID{})
		is.NoErr(err)
		time.Sleep(time.Minute)
		is.Equal(store.ActiveRevisions()["profiles"], peridotpath.Revision(5)) // a lower revision was applied
		is.True(store.Current().Config.Profile("old") == nil)
		is.True(store.Ready())
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
	})
}
