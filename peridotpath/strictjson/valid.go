package strictjson

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// maxNesting bounds how deep values may stand in one another. Prompts with
// tools and their schemas need a few dozen.
const maxNesting = 1000

// Valid reports whether text is one JSON value that is not nested too deep.
//
// gjson checks nested values by recursion. A body of 16 MB of opening brackets
// takes its stack past the limit of 1 GB, which ends the whole process with
// every request that it serves: one caller, or one endpoint, could take an
// instance down. The brackets are counted first, which is fast; only a text with
// many of them is looked at closer.
func Valid(text []byte) bool {
	opening := bytes.Count(text, []byte("[")) + bytes.Count(text, []byte("{"))
	if opening > maxNesting && nesting(text) > maxNesting {
		return false
	}
	return gjson.ValidBytes(text)
}

// nesting returns how deep the brackets outside of strings stand in one another,
// or the first depth past maxNesting.
func nesting(text []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(text) && deepest <= maxNesting; i++ {
		switch text[i] {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		case '"':
			i = stringEnd(text, i+1)
		}
	}
	return deepest
}

// stringEnd returns where the string that begins at from ends.
func stringEnd(text []byte, from int) int {
	for i := from; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}
