package main

import (
	"context"
	"encoding/json"
	"fmt"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

// itemKind is what the commands for profiles and for customers differ in.
type itemKind struct {
	kind config.Kind
	// columns are the JSON fields that the list shows besides name and revision.
	columns []string
	// decode checks a text and returns its name and its stored form.
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

// itemFile is one item as a file holds it: as "show" prints it, with the
// revision it was read at, or bare.
type itemFile struct {
	name     string
	value    string
	revision uint64
	// revised says that the file names a revision.
	revised bool
}

// load reads and checks a file with one item.
func (kind itemKind) load(console *console, path string) (*itemFile, error) {
	text, err := console.read(path)
	if err != nil {
		return nil, err
	}
	file := &itemFile{}
	var shown map[string]json.RawMessage
	if json.Unmarshal(text, &shown) == nil && shown["revision"] != nil && shown[string(kind.kind)] != nil {
		file.revised = true
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

// current returns the item in force, with revision zero when there is none.
func (kind itemKind) current(ctx context.Context, console *console, name string) (*pb.Item, error) {
	item, err := ask(ctx, console, pb.Operator.GetItem, &pb.GetItemRequest{Kind: string(kind.kind), Name: name})
	if isNotFound(err) {
		return &pb.Item{Kind: string(kind.kind), Name: name}, nil
	}
	return item, err
}

// both returns the item in the file that args name, and the one in force.
func (kind itemKind) both(ctx context.Context, console *console, args []string) (*itemFile, *pb.Item, error) {
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

// usage puts the kind's name into a usage text.
func (kind itemKind) usage(text string) string {
	return fmt.Sprintf(text, kind.kind)
}

func faultsOf(faults []*pb.Fault) peridotpath.Faults {
	converted := make(peridotpath.Faults, 0, len(faults))
	for _, fault := range faults {
		converted = append(converted, peridotpath.Fault{Path: fault.Path, Message: fault.Message})
	}
	return converted
}
