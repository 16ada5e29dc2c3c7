package strictjson

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// maxNesting bounds the nesting depth of values. Prompts with tools and their schemas
// need a few dozen levels.
const maxNesting = 1000

// Valid reports whether text is one JSON value that is not nested too deeply.
//
// gjson validates nested values recursively. A body of 16 MB of opening brackets
// exceeds the stack limit of 1 GB, which terminates the process and every request it
// serves: a single caller or endpoint could crash an instance. Brackets are therefore
// counted first, which is fast, and the depth is computed only for texts with many.
func Valid(text []byte) bool {
	opening := bytes.Count(text, []byte("[")) + bytes.Count(text, []byte("{"))
	if opening > maxNesting && nesting(text) > maxNesting {
		return false
	}
	return gjson.ValidBytes(text)
}

// nesting returns the maximum nesting depth of brackets outside of strings. It stops at
// the first depth above maxNesting.
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

// stringEnd returns the index of the closing quote of the string whose content starts
// at from, or len(text) if it is unterminated.
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
