package crowd

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"peridotpath.example/platform/standin"
)

// oddTime is how long each odd entry stays before the next one comes.
const oddTime = 300 * time.Millisecond

// oddValues returns what other writers leave: values that are nested deeply, with numbers that are too large or
// negative, with ports out of range, and bytes that are no document. Some are an endpoint's entry, with one member
// after the others that replaces the one before.
func oddValues(address netip.AddrPort) []string {
	endpoint := &standin.Endpoint{ID: "odd", Service: plainService, Slots: 16}
	_, sound := endpoint.Entry(address, time.Now(), false)
	entry := func(format string, value any) string {
		return strings.TrimSuffix(string(sound), "}") + "," + fmt.Sprintf(format, value) + "}"
	}
	values := []string{
		strings.Repeat("[", 1_000_000), strings.Repeat(`{"a":`, 500_000), strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000),
		"", "null", "[]", "{", "\x00\xff", `"text"`, "1e400", "{}", `{"version":1e400}`, `{"version":-1}`,
		`{"version":99999999999999999999}`, `{"version":9007199254740993,"routes":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}",
		entry(`"more":%s`, strings.Repeat("[", 9000)+strings.Repeat("]", 9000)),
		`{"instances":[{"ip":-1,"port":70000}],"expires_at":1e308}`,
	}
	for _, number := range []string{"1e400", "9223372036854775807", "9223372036854775808", "-9223372036854775808", "-1", "1e308", "0.5"} {
		for _, field := range []string{"capacity", "born", "seq_no", "cold_left_ms"} {
			values = append(values, entry(`"`+field+`":%s`, number))
		}
	}
	for _, odd := range []string{"127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:99999999999999999999", "0.0.0.0:1", "127.0.0.1", ":1", "[::1%x]:1", ""} {
		values = append(values, entry(`"address":%q`, odd))
	}
	return values
}

// Another writer leaves odd entries, under keys of endpoints, of the operator and of the system itself, several in
// turn at one key: instances that read them end, or follow the list no more.
func TestOddEntries(t *testing.T) {
	keys := []string{"servers/odd", "servers/i-1", "op/evacuate/odd", "op/odd", "peridotpath/instances/odd", "peridotpath/odd", standin.RoutingKey}
	instance := startInstance(t, buildPeridotd(t), standin.Limits{MemoryMB: 284, MaxFDs: 4100})
	calm := measureCalm(t, instance)
	for _, value := range oddValues(instance.storeAt) { // the store is no endpoint
		for _, key := range keys {
			instance.store.Put(key, []byte(value))
		}
		time.Sleep(oddTime)
		if !instance.IsAlive() {
			t.Fatalf("want the process to live, it has ended after %.80q", value)
		}
	}
	// The list is followed beside the odd entries: the only plain endpoint goes, and another one comes.
	instance.WriteRouting()
	instance.endpoints[plainEndpoint].SetLeaving(true)
	if err := instance.addEndpoint(t.Context(), "late", plainService); err != nil {
		t.Fatal(err)
	}
	checkBounds(t, instance, usage{})
	checkCalm(t, instance, calm)
}
