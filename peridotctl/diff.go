package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// difference is one field that two texts differ in.
type difference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// absent stands for a field, or a whole item, that is not there.
const absent = "-"

// differences compares two JSON objects field by field; an empty text is an
// item that does not exist.
func differences(before, after string) []difference {
	old, next := fields(before), fields(after)
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range next {
		names[name] = true
	}
	found := []difference{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if old[name] != next[name] {
			found = append(found, difference{name, orAbsent(old[name]), orAbsent(next[name])})
		}
	}
	return found
}

func fields(text string) map[string]string {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &raw); err != nil {
		return nil
	}
	compacted := map[string]string{}
	for name, value := range raw {
		compacted[name] = compact(string(value))
	}
	return compacted
}

func orAbsent(value string) string {
	if value == "" {
		return absent
	}
	return value
}

func showDifferences(out io.Writer, found []difference) {
	for _, field := range found {
		fmt.Fprintf(out, "  %s\t%s ->\t%s\n", field.Field, field.Before, field.After)
	}
}
