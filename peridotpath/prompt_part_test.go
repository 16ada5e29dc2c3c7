package peridotpath_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

func ExampleParsePartID() {
	part, ok := peridotpath.ParsePartID(" 005C1E07a2 ")
	fmt.Println(part, ok)
	// Output: 5c1e07a2 true
}

// A barred part that is spelled otherwise must not pass as another one, nor other text as a part.
func TestPartIDsAreCanonical(t *testing.T) {
	for text, want := range map[string]peridotpath.PartID{
		"5c1e": "5c1e", "5C1E": "5c1e", "\t005c1e ": "5c1e", "0": "0", "000": "0",
		"": "", " ": "", "0x1f": "", "-1": "", "1 2": "", "g": "", "1.0": "",
	} {
		is := is.New(t)
		part, ok := peridotpath.ParsePartID(text)
		is.Equal(part, want) // canonical
		is.Equal(ok, want != "")
	}
}
