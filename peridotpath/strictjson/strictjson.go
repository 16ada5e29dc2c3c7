// Package strictjson decodes JSON that people write by hand: settings and
// profiles. Where encoding/json stops at the first fault and lets unknown and
// repeated keys pass, it reports every fault at once, each with its path.
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

// Mode says what is asked of keys that are left out.
type Mode int

const (
	// Partial lets any key be left out; defaults are the caller's business.
	Partial Mode = iota
	// Complete asks for every key whose field has no omitempty.
	Complete
)

// Decode fills the struct that value points to and returns every fault. What
// has no fault is filled in also when something else has one, so that the
// caller's own checks can add theirs.
func Decode(text []byte, value any, mode Mode) peridotpath.Faults {
	decoder := decoder{mode: mode}
	if err := syntax(text); err != nil {
		decoder.faults.Add("$", "%v", err)
		return decoder.faults
	}
	decoder.decode("", text, reflect.ValueOf(value).Elem())
	return decoder.faults
}

// syntax finds what makes the text no JSON at all, with the line it stands on.
func syntax(text []byte) error {
	var whole json.RawMessage
	err := json.Unmarshal(text, &whole)
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

// decode fills target from one well-formed JSON value.
func (decoder *decoder) decode(path string, raw []byte, target reflect.Value) {
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		decoder.leaf(path, raw, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		decoder.object(path, raw, target)
	case reflect.Slice:
		decoder.list(path, raw, target)
	default:
		decoder.leaf(path, raw, target)
	}
}

// leaf leaves the decoding of numbers, strings and addresses to encoding/json.
func (decoder *decoder) leaf(path string, raw []byte, target reflect.Value) {
	err := json.Unmarshal(raw, target.Addr().Interface())
	if string(raw) == "null" {
		err = errors.New("null")
	}
	if err == nil {
		return
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) || string(raw) == "null" {
		decoder.faults.Add(path, "is %s, must be %s", shorten(raw), describe(target.Type()))
		return
	}
	decoder.faults.Add(path, "is %s: %v", shorten(raw), err)
}

func (decoder *decoder) list(path string, raw []byte, target reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil || items == nil {
		decoder.faults.Add(path, "is %s, must be a list", shorten(raw))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		decoder.decode(fmt.Sprintf("%s[%d]", path, i), item, target.Index(i))
	}
}

func (decoder *decoder) object(path string, raw []byte, target reflect.Value) {
	members, ok := decoder.members(path, raw)
	if !ok {
		return
	}
	known := map[string]bool{}
	for i := range target.NumField() {
		key, optional, tagged := keyOf(target.Type().Field(i))
		if !tagged {
			continue
		}
		known[key] = true
		switch member, given := members[key]; {
		case given:
			decoder.decode(join(path, key), member, target.Field(i))
		case decoder.mode == Complete && !optional:
			decoder.faults.Add(join(path, key), "is missing")
		}
	}
	decoder.unknown(path, raw, known)
}

// members returns the members of an object and reports repeated ones: the last
// would win in silence.
func (decoder *decoder) members(path string, raw []byte) (map[string]json.RawMessage, bool) {
	keys, values, err := walk(raw)
	if err != nil {
		decoder.faults.Add(orRoot(path), "is %s, must be an object", shorten(raw))
		return nil, false
	}
	members := map[string]json.RawMessage{}
	for i, key := range keys {
		if _, ok := members[key]; ok {
			decoder.faults.Add(join(path, key), "is given twice")
		}
		members[key] = values[i]
	}
	return members, true
}

// unknown reports keys that the struct has no field for, in the text's order.
func (decoder *decoder) unknown(path string, raw []byte, known map[string]bool) {
	keys, _, _ := walk(raw)
	for _, key := range keys {
		if known[key] {
			continue
		}
		if other := sameStem(key, known); other != "" {
			decoder.faults.Add(join(path, key), "is unknown; the unit is part of the key: %s", other)
			continue
		}
		decoder.faults.Add(join(path, key), "is unknown")
	}
}

// sameStem returns a known key that differs from key by its unit only.
func sameStem(key string, known map[string]bool) string {
	at := strings.LastIndexByte(key, '_')
	if at < 0 {
		at = len(key)
	}
	for other := range known {
		end := strings.LastIndexByte(other, '_')
		if end > 0 && (other[:end] == key[:at] || other[:end] == key) {
			return other
		}
	}
	return ""
}

// walk returns the keys and values of an object in the text's order.
func walk(raw []byte) ([]string, []json.RawMessage, error) {
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

// keyOf returns the JSON key of a field and whether it may be left out.
func keyOf(field reflect.StructField) (key string, optional, tagged bool) {
	key, options, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key, strings.Contains(options, "omitempty"), key != "" && key != "-"
}

// describe says in words what a field takes.
func describe(kind reflect.Type) string {
	switch kind {
	case reflect.TypeFor[peridotpath.Millis]():
		return "a whole number of milliseconds, without a unit"
	case reflect.TypeFor[peridotpath.Bytes]():
		return "a whole number of bytes, without a unit"
	}
	switch kind.Kind() {
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func orRoot(path string) string {
	if path == "" {
		return "$"
	}
	return path
}

const maxShown = 40

func shorten(raw []byte) string {
	if len(raw) > maxShown {
		return string(raw[:maxShown]) + "..."
	}
	return string(raw)
}
