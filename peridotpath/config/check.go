package config

import (
	"encoding/json"
	"fmt"
	"unicode"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/strictjson"
)

// maxLabel bounds change ids, operators' names and reasons, which are kept in
// each document's history.
const maxLabel = 64

// check returns the faults of the change by itself and, where there are none,
// leaves its value in the form that is stored: with all defaults.
func (change *Change) check() peridotpath.Faults {
	var faults peridotpath.Faults
	checkLabel(&faults, "change_id", string(change.ID))
	checkLabel(&faults, "who", change.Who)
	peridotpath.CheckName(&faults, "name", change.Name)
	switch change.Kind {
	case KindProfile, KindCustomer, KindDrain:
	default:
		faults.Add("kind", "is %q, must be profile, customer or drain", change.Kind)
		return faults
	}
	if change.Value != nil {
		faults = append(faults, change.checkValue()...)
	}
	return faults
}

func checkLabel(faults *peridotpath.Faults, path, label string) {
	if label == "" || len(label) > maxLabel {
		faults.Add(path, "has %d bytes, must have from 1 to %d", len(label), maxLabel)
	}
	for _, r := range label {
		if !unicode.IsPrint(r) {
			faults.Add(path, "has the character %q; printing characters are allowed", r)
			return
		}
	}
}

func (change *Change) checkValue() peridotpath.Faults {
	switch change.Kind {
	case KindProfile:
		profile, faults := DecodeProfile(change.Value)
		return change.store(profile, string(profile.Name), faults)
	case KindCustomer:
		customer, faults := DecodeCustomer(change.Value)
		return change.store(customer, string(customer.ID), faults)
	default:
		drain, faults := decodeDrain(change.Value)
		return change.store(drain, string(drain.Endpoint), faults)
	}
}

// store replaces the value by its stored form.
func (change *Change) store(value any, name string, faults peridotpath.Faults) peridotpath.Faults {
	if len(faults) == 0 && name != change.Name {
		faults.Add(string(change.Kind), "bears the name %q, the change is for %q", name, change.Name)
	}
	if len(faults) > 0 {
		return faults
	}
	text, err := json.Marshal(value)
	if err != nil {
		faults.Add(string(change.Kind), "%v", err)
	}
	change.Value = text
	return faults
}

// DecodeProfile reads a profile as operators write it, with defaults filled in.
func DecodeProfile(text []byte) (*peridotpath.Profile, peridotpath.Faults) {
	return decodeItem[peridotpath.Profile](text, KindProfile)
}

// DecodeCustomer reads a customer as operators write it, with defaults filled in.
func DecodeCustomer(text []byte) (*peridotpath.Customer, peridotpath.Faults) {
	return decodeItem[peridotpath.Customer](text, KindCustomer)
}

// checked is a domain type with defaults and bounds.
type checked[T any] interface {
	*T
	Defaults()
	Validate(prefix string) peridotpath.Faults
}

func decodeItem[T any, P checked[T]](text []byte, kind Kind) (*T, peridotpath.Faults) {
	item := P(new(T))
	faults := decode(text, item, kind)
	item.Defaults()
	return item, faults.Merge(item.Validate(string(kind)))
}

func decodeDrain(text []byte) (*Drain, peridotpath.Faults) {
	drain := &Drain{}
	faults := decode(text, drain, KindDrain)
	if len(drain.Reason) > maxLabel {
		faults.Add("drain.reason", "has %d bytes, at most %d are allowed", len(drain.Reason), maxLabel)
	}
	return drain, faults
}

// decode reads value strictly and gives the faults' paths under kind.
func decode(text []byte, value any, kind Kind) peridotpath.Faults {
	faults := strictjson.Decode(text, value, strictjson.Partial)
	for i := range faults {
		faults[i].Path = fmt.Sprintf("%s.%s", kind, faults[i].Path)
	}
	return faults
}

// conflict returns a *Conflict unless the item is what the operator saw.
func (change *Change) conflict(current *content) error {
	item := current.item(change.Name)
	if item == nil {
		item = &Item{}
	}
	if change.Base == AnyRevision || change.Base == item.Revision {
		return nil
	}
	return &Conflict{
		Kind: change.Kind, Name: change.Name, Base: change.Base, Current: item.Revision,
		Yours: change.Value, Theirs: item.Value, Last: current.last(change.Name),
	}
}

// clashes returns the faults of the change against the other items: those of
// its document as just read, and those of other documents as in force here. Two
// changes of different documents at the same moment can therefore both pass with
// the same key; peridotpath.Config then gives the key to the lower customer id.
func (change *Change) clashes(current *content, snapshot *Snapshot) (peridotpath.Faults, error) {
	if change.Value == nil {
		return nil, nil
	}
	switch change.Kind {
	case KindProfile:
		return change.profileClashes(current)
	case KindCustomer:
		return change.customerClashes(current, snapshot)
	default:
		return nil, nil
	}
}

func (change *Change) profileClashes(current *content) (peridotpath.Faults, error) {
	profile := &peridotpath.Profile{}
	if err := json.Unmarshal(change.Value, profile); err != nil {
		return nil, Error.Wrap(err)
	}
	others, err := values[peridotpath.Profile](current)
	if err != nil {
		return nil, err
	}
	owners := map[string]peridotpath.ProfileName{}
	for _, other := range others {
		if other.Name == profile.Name {
			continue
		}
		owners[string(other.Name)] = other.Name
		for _, alias := range other.Aliases {
			owners[alias] = other.Name
		}
	}
	return claimNames(profile, owners), nil
}

// claimNames returns a fault for each name of profile that is taken, by another
// profile or by itself.
func claimNames(profile *peridotpath.Profile, owners map[string]peridotpath.ProfileName) peridotpath.Faults {
	var faults peridotpath.Faults
	claim := func(path, name string) {
		if owner, taken := owners[name]; taken {
			faults.Add(path, "%q belongs to profile %s", name, owner)
		}
		owners[name] = profile.Name
	}
	claim("profile.name", string(profile.Name))
	for i, alias := range profile.Aliases {
		claim(fmt.Sprintf("profile.aliases[%d]", i), alias)
	}
	return faults
}

func (change *Change) customerClashes(current *content, snapshot *Snapshot) (peridotpath.Faults, error) {
	var faults peridotpath.Faults
	customer := &peridotpath.Customer{}
	if err := json.Unmarshal(change.Value, customer); err != nil {
		return nil, Error.Wrap(err)
	}
	others, err := values[peridotpath.Customer](current)
	if err != nil {
		return nil, err
	}
	if inForce := snapshot.Config.CustomerByKeySHA256(customer.KeySHA256); inForce != nil {
		others = append(others, inForce)
	}
	for _, other := range others {
		if other.ID != customer.ID && other.KeySHA256 == customer.KeySHA256 {
			faults.Add("customer.key_sha256", "is the key of customer %s", other.ID)
			break
		}
	}
	return faults, nil
}
