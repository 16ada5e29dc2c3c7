package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// difference is a field whose value differs between two JSON objects.
type difference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// absent is printed for a missing field or item.
const absent = "-"

// diffFields compares two JSON objects field by field. An empty text stands for an
// item that does not exist.
func diffFields(before, after string) []difference {
	beforeFields, afterFields := jsonFields(before), jsonFields(after)
	names := map[string]bool{}
	for name := range beforeFields {
		names[name] = true
	}
	for name := range afterFields {
		names[name] = true
	}
	differences := []difference{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if beforeFields[name] != afterFields[name] {
			differences = append(differences, difference{name, orAbsent(beforeFields[name]), orAbsent(afterFields[name])})
		}
	}
	return differences
}

func jsonFields(text string) map[string]string {
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

func showDifferences(out io.Writer, differences []difference) {
	for _, field := range differences {
		fmt.Fprintf(out, "  %s\t%s ->\t%s\n", field.Field, field.Before, field.After)
	}
}
