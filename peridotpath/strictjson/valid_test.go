package strictjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/strictjson"
)

// A request body of 16 MB of opening brackets must be rejected as invalid. A recursive check
// without a bound on the depth overflows the stack, which terminates the instance and every
// stream that the instance relays.
func TestValidRejectsDeepNesting(t *testing.T) {
	tests := []struct {
		name string
		text string
		want bool
	}{
		{"16 MB of brackets", strings.Repeat("[", 16<<20), false},
		{"16 MB of braces", strings.Repeat(`{"a":`, 16<<20/5), false},
		{"closed, too deep", strings.Repeat("[", 1001) + strings.Repeat("]", 1001), false},
		{"at the maximum depth", strings.Repeat("[", 1000) + strings.Repeat("]", 1000), true},
		{"brackets in a string", `{"prompt":"` + strings.Repeat("[{", 1<<20) + `"}`, true},
		{"an escaped quote before brackets", `["\"` + strings.Repeat("[", 2000) + `"]`, true},
		{"many messages", `[` + strings.Repeat(`{"role":"user"},`, 5000) + `{}]`, true},
		{"cut off", `{"prompt":"half`, false},
		{"nothing", ``, false},
		{"two values", `{} {}`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strictjson.Valid([]byte(test.text)), test.want)
		})
	}
}

func FuzzValid(f *testing.F) {
	for _, seed := range []string{`{"a":[1,2,{"b":"\"["}]}`, `[[[`, `"\\"`, `{"a":"\u00zz"}`, `{"a":1}}`, "[\"\x00\"]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if have := strictjson.Valid(text); have && !json.Valid(text) {
			t.Errorf("want %q invalid, as in encoding/json", text)
		}
	})
}
