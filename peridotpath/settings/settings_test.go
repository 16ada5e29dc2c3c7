package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/settings"
)

const examplePath = "../../docs/examples/peridotd.json"

func exampleText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExampleFile(t *testing.T) {
	is := is.New(t)
	read, err := settings.Read(examplePath)
	is.NoErr(err)
	is.Equal(read.DataCentre, peridotpath.DataCentre("colombo-a"))
	is.Equal(read.Limits.MaxBodyBytes, peridotpath.Bytes(16<<20))
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	whole, _ := settings.Parse([]byte(exampleText(t)))
	head, _, _ := strings.Cut(exampleText(t), `,
  "limits"`)
	short, faults := settings.Parse([]byte(head + "}"))
	is.NoErr(faults.OrNil())
	is.Equal(short, whole) // the example file lists the defaults
}

func TestEachFault(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", `"log_level"`, `"colour": 1, "log_level"`, `colour: is unknown`},
		{"unknown nested key", `"max_connections"`, `"shape": 1, "max_connections"`, `limits.shape: is unknown`},
		{"missing key", `"data_centre": "colombo-a",`, ``, `data_centre: is missing`},
		{"key given twice", `"log_level"`, `"data_centre": "b", "log_level"`, `data_centre: is given twice`},
		{"another unit", `"handover_ms": 1000`, `"handover_s": 1`, `drain.handover_s: is unknown; the unit is part of the key: handover_ms`},
		{"unit in the value", `1000`, `"1s"`, `drain.handover_ms: is "1s", must be a whole number of milliseconds, without a unit`},
		{"fraction", `5000`, `0.5`, `drain.balancer_notice_ms: is 0.5, must be a whole number of milliseconds, without a unit`},
		{"null", `"info"`, `null`, `log_level: is null, must be a string`},
		{"not an object", `"limits": {`, `"limits": 3, "drain": {`, `limits: is 3, must be an object`},
		{"host name", `127.0.0.1:7001`, `kv.example:7001`, `key_value_address: is "kv.example:7001": ParseAddr("kv.example"): unexpected character (at "kv.example")`},
		{"no port", `127.0.0.1:7002`, `127.0.0.1`, `membership_address: is "127.0.0.1": not an ip:port`},
		{"port zero", `127.0.0.1:8080`, `127.0.0.1:0`, `caller_address: must be an IP number and a port, such as 10.0.0.1:8080`},
		{"same address", `127.0.0.1:8081`, `127.0.0.1:8080`, `peer_address: is the same as caller_address`},
		{"empty id", `"colombo-a-1"`, `""`, `instance_id: is missing`},
		{"limit too high", `16777216`, `16777216000`, `limits.max_body_bytes: is 16777216000, must be from 1048576 to 67108864`},
		{"limit below another limit", `268435456`, `1048576`, `limits.body_memory_bytes: is 1048576, must be from 16777216 to 68719476736`},
		{"negative", `20000`, `-1`, `limits.max_connections: is -1, must be from 10 to 1000000`},
		{"no room for heads", `67108864`, `4096`, `limits.head_memory_bytes: is 4096, must be from 4194304 to 68719476736`},
		{"no room for answers", `134217728`, `4096`, `limits.answer_memory_bytes: is 4096, must be from 33554432 to 68719476736`},
		{"level", `"info"`, `"loud"`, `log_level: is "loud", must be debug, info, warn or error`},
		{"malformed JSON", `"config_readers": 2,`, `"config_readers": ,`, `$: line 20: invalid character ',' looking for beginning of value`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(exampleText(t), test.old, test.new, 1)
			is.True(text != exampleText(t))
			_, faults := settings.Parse([]byte(text))
			is.True(strings.Contains(faults.Error()+"\n", test.want+"\n"))
			if t.Failed() {
				t.Logf("have %s", faults)
			}
		})
	}
}

// All faults of a file are reported together, so that an operator can correct them in one go.
func ExampleParse() {
	_, faults := settings.Parse([]byte(`{"instance_id": "a b", "peer_address": 7, "colour": "red", "config_readers": 99}`))
	fmt.Println(faults)
	// Output:
	// data_centre: is missing
	// caller_address: is missing
	// peer_address: is 7, must be a string in the field's own form
	// key_value_address: is missing
	// membership_address: is missing
	// colour: is unknown
	// instance_id: has the character ' '; letters, digits, - _ . / are allowed
	// config_readers: is 99, must be from 1 to 10
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"limits": {"max_body_bytes": 1, "max_body_bytes": null}}`))
	f.Add([]byte(`[1, {"a": "b"}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, faults := settings.Parse(text)
		if len(faults) == 0 && parsed.InstanceID == "" {
			t.Errorf("no fault and no id in %q", text)
		}
	})
}
