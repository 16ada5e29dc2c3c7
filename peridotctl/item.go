package main

import (
	"context"
	"encoding/json"
	"fmt"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

// itemKind holds what differs between the commands for profiles and those for
// customers.
type itemKind struct {
	kind config.Kind
	// columns are the JSON fields listed after name and revision.
	columns []string
	// decode validates JSON text and returns the item's name and stored form.
	decode func(text []byte) (name string, value any, faults peridotpath.Faults)
}

var (
	profiles = itemKind{
		kind:    config.KindProfile,
		columns: []string{"service", "idempotent", "priority", "deadline_ms", "max_prompt_tokens", "max_queued"},
		decode: func(text []byte) (string, any, peridotpath.Faults) {
			profile, faults := config.DecodeProfile(text)
			return string(profile.Name), profile, faults
		},
	}
	customers = itemKind{
		kind:    config.KindCustomer,
		columns: []string{"weight", "max_requests_per_s", "max_concurrent"},
		decode: func(text []byte) (string, any, peridotpath.Faults) {
			customer, faults := config.DecodeCustomer(text)
			return string(customer.ID), customer, faults
		},
	}
)

// itemFile is an item read from a file: either the output of "show", which includes
// the revision, or the item alone.
type itemFile struct {
	name     string
	value    string
	revision uint64
	// hasRevision is set if the file includes a revision.
	hasRevision bool
}

// load reads and validates a file with one item.
func (kind itemKind) load(console *console, path string) (*itemFile, error) {
	text, err := console.read(path)
	if err != nil {
		return nil, err
	}
	file := &itemFile{}
	var shown map[string]json.RawMessage
	if json.Unmarshal(text, &shown) == nil && shown["revision"] != nil && shown[string(kind.kind)] != nil {
		file.hasRevision = true
		if err := json.Unmarshal(shown["revision"], &file.revision); err != nil {
			return nil, peridotpath.Faults{{Path: "revision", Message: "must be a whole number"}}
		}
		text = shown[string(kind.kind)]
	}
	name, value, faults := kind.decode(text)
	if err := faults.OrNil(); err != nil {
		return nil, err
	}
	stored, err := json.Marshal(value)
	file.name, file.value = name, string(stored)
	return file, err
}

// current returns the active item, or one with revision zero if there is none.
func (kind itemKind) current(ctx context.Context, console *console, name string) (*pb.Item, error) {
	item, err := callAny(ctx, console, pb.Operator.GetItem, &pb.GetItemRequest{Kind: string(kind.kind), Name: name})
	if isNotFound(err) {
		return &pb.Item{Kind: string(kind.kind), Name: name}, nil
	}
	return item, err
}

// loadWithCurrent returns the item in the file named by args, and the active item
// of the same name.
func (kind itemKind) loadWithCurrent(ctx context.Context, console *console, args []string) (*itemFile, *pb.Item, error) {
	if len(args) != 1 {
		return nil, nil, errUsage
	}
	file, err := kind.load(console, args[0])
	if err != nil {
		return nil, nil, err
	}
	current, err := kind.current(ctx, console, file.name)
	return file, current, err
}

// usageText inserts the kind's name into a usage text.
func (kind itemKind) usageText(text string) string {
	return fmt.Sprintf(text, kind.kind)
}

func faultsFromProto(faults []*pb.Fault) peridotpath.Faults {
	converted := make(peridotpath.Faults, 0, len(faults))
	for _, fault := range faults {
		converted = append(converted, peridotpath.Fault{Path: fault.Path, Message: fault.Message})
	}
	return converted
}
