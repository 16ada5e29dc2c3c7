// Package strictjson decodes and validates JSON.
//
// Decode is for JSON that is written by hand, such as settings and profiles. Where
// encoding/json stops at the first error and accepts unknown and duplicate keys, it
// reports every fault, each with its path. Valid checks the syntax of untrusted JSON
// with bounded recursion.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"peridotpath.example/peridotpath"
)

// Mode is the treatment of missing keys.
type Mode int

const (
	// AllowMissing makes all keys optional; the caller applies defaults.
	AllowMissing Mode = iota
	// RequireAll requires every key whose field has no omitempty.
	RequireAll
)

// Decode decodes text into the struct that value points to and returns every fault.
// Fields without faults are filled in even if others have faults, so that the caller's
// validation can report further ones.
func Decode(text []byte, value any, mode Mode) peridotpath.Faults {
	decoder := decoder{mode: mode}
	if err := checkSyntax(text); err != nil {
		decoder.faults.Add("$", "%v", err)
		return decoder.faults
	}
	decoder.decode("", text, reflect.ValueOf(value).Elem())
	return decoder.faults
}

// checkSyntax returns the syntax error of text, if any, with its line number.
func checkSyntax(text []byte) error {
	var value json.RawMessage
	err := json.Unmarshal(text, &value)
	var malformed *json.SyntaxError
	if errors.As(err, &malformed) {
		line := 1 + bytes.Count(text[:malformed.Offset], []byte("\n"))
		return fmt.Errorf("line %d: %w", line, err)
	}
	return err
}

type decoder struct {
	mode   Mode
	faults peridotpath.Faults
}

// decode decodes one well-formed JSON value into target.
func (decoder *decoder) decode(path string, raw []byte, target reflect.Value) {
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		decoder.decodeLeaf(path, raw, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		decoder.decodeObject(path, raw, target)
	case reflect.Slice:
		decoder.decodeList(path, raw, target)
	default:
		decoder.decodeLeaf(path, raw, target)
	}
}

// decodeLeaf decodes numbers, strings and addresses with encoding/json.
func (decoder *decoder) decodeLeaf(path string, raw []byte, target reflect.Value) {
	err := json.Unmarshal(raw, target.Addr().Interface())
	if string(raw) == "null" {
		err = errors.New("null")
	}
	if err == nil {
		return
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) || string(raw) == "null" {
		decoder.faults.Add(path, "is %s, must be %s", truncate(raw), describeType(target.Type()))
		return
	}
	decoder.faults.Add(path, "is %s: %v", truncate(raw), err)
}

func (decoder *decoder) decodeList(path string, raw []byte, target reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil || items == nil {
		decoder.faults.Add(path, "is %s, must be a list", truncate(raw))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		decoder.decode(fmt.Sprintf("%s[%d]", path, i), item, target.Index(i))
	}
}

func (decoder *decoder) decodeObject(path string, raw []byte, target reflect.Value) {
	members, ok := decoder.members(path, raw)
	if !ok {
		return
	}
	known := map[string]bool{}
	for i := range target.NumField() {
		key, optional, tagged := jsonKey(target.Type().Field(i))
		if !tagged {
			continue
		}
		known[key] = true
		switch member, found := members[key]; {
		case found:
			decoder.decode(joinPath(path, key), member, target.Field(i))
		case decoder.mode == RequireAll && !optional:
			decoder.faults.Add(joinPath(path, key), "is missing")
		}
	}
	decoder.reportUnknown(path, raw, known)
}

// members returns the members of an object and reports duplicate keys, of which
// encoding/json silently uses the last.
func (decoder *decoder) members(path string, raw []byte) (map[string]json.RawMessage, bool) {
	keys, values, err := orderedMembers(raw)
	if err != nil {
		decoder.faults.Add(pathOrRoot(path), "is %s, must be an object", truncate(raw))
		return nil, false
	}
	members := map[string]json.RawMessage{}
	for i, key := range keys {
		if _, ok := members[key]; ok {
			decoder.faults.Add(joinPath(path, key), "is given twice")
		}
		members[key] = values[i]
	}
	return members, true
}

// reportUnknown reports keys without a struct field, in the order of the text.
func (decoder *decoder) reportUnknown(path string, raw []byte, known map[string]bool) {
	keys, _, _ := orderedMembers(raw)
	for _, key := range keys {
		if known[key] {
			continue
		}
		if knownKey := keyWithOtherUnit(key, known); knownKey != "" {
			decoder.faults.Add(joinPath(path, key), "is unknown; the unit is part of the key: %s", knownKey)
			continue
		}
		decoder.faults.Add(joinPath(path, key), "is unknown")
	}
}

// keyWithOtherUnit returns a known key that differs from key only in its unit suffix.
func keyWithOtherUnit(key string, known map[string]bool) string {
	at := strings.LastIndexByte(key, '_')
	if at < 0 {
		at = len(key)
	}
	for knownKey := range known {
		end := strings.LastIndexByte(knownKey, '_')
		if end > 0 && (knownKey[:end] == key[:at] || knownKey[:end] == key) {
			return knownKey
		}
	}
	return ""
}

// orderedMembers returns the keys and values of an object in the order of the text.
func orderedMembers(raw []byte) ([]string, []json.RawMessage, error) {
	reader := json.NewDecoder(bytes.NewReader(raw))
	if token, err := reader.Token(); err != nil || token != json.Delim('{') {
		return nil, nil, errors.Join(errors.New("not an object"), err)
	}
	var keys []string
	var values []json.RawMessage
	for reader.More() {
		token, err := reader.Token()
		if err != nil {
			return nil, nil, err
		}
		var value json.RawMessage
		if err := reader.Decode(&value); err != nil && !errors.Is(err, io.EOF) {
			return nil, nil, err
		}
		keys = append(keys, fmt.Sprint(token))
		values = append(values, value)
	}
	return keys, values, nil
}

// jsonKey returns the JSON key of a field, whether it is optional, and whether the
// field has a key.
func jsonKey(field reflect.StructField) (key string, optional, tagged bool) {
	key, options, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key, strings.Contains(options, "omitempty"), key != "" && key != "-"
}

// describeType describes the values that a field accepts.
func describeType(fieldType reflect.Type) string {
	switch fieldType {
	case reflect.TypeFor[peridotpath.Millis]():
		return "a whole number of milliseconds, without a unit"
	case reflect.TypeFor[peridotpath.Bytes]():
		return "a whole number of bytes, without a unit"
	}
	switch fieldType.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	default:
		return "a string in the field's own form"
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func pathOrRoot(path string) string {
	if path == "" {
		return "$"
	}
	return path
}

const maxShownBytes = 40

func truncate(raw []byte) string {
	if len(raw) > maxShownBytes {
		return string(raw[:maxShownBytes]) + "..."
	}
	return string(raw)
}
