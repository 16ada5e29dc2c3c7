package keyvalue_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/keyvalue"
)

// A fleet's calls are attributed to what they are made for, or nobody finds which of them grow with
// the fleet.
func TestAccountSeparatesPurposesAndKinds(t *testing.T) {
	is := is.New(t)
	account := &keyvalue.Account{}
	routing := keyvalue.WithPurpose(t.Context(), keyvalue.PurposeRouting)
	account.Add(routing, keyvalue.KindGetIfChanged)
	account.Add(keyvalue.WithPurpose(routing, keyvalue.PurposeEndpoints), keyvalue.KindList)
	account.Add(routing, keyvalue.KindGetIfChanged)
	account.Add(context.Background(), keyvalue.KindGet)
	is.Equal(account.Counts(), []keyvalue.CallCount{
		{Purpose: keyvalue.PurposeEndpoints, Kind: keyvalue.KindList, Count: 1},
		{Purpose: "other", Kind: keyvalue.KindGet, Count: 1},
		{Purpose: keyvalue.PurposeRouting, Kind: keyvalue.KindGetIfChanged, Count: 2},
	})
}
