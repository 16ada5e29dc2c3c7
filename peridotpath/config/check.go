package config

import (
	"encoding/json"
	"fmt"
	"unicode"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/strictjson"
)

// maxLabelBytes bounds change ids and operators' names, which each document's history
// keeps, and reasons of drains.
const maxLabelBytes = 64

// validate returns the faults of the change, without regard to other items. If there
// are none it replaces the value by its stored form, with all defaults filled in.
func (change *Change) validate() peridotpath.Faults {
	var faults peridotpath.Faults
	validateLabel(&faults, "change_id", string(change.ID))
	validateLabel(&faults, "who", change.Who)
	peridotpath.CheckName(&faults, "name", change.Name)
	switch change.Kind {
	case KindProfile, KindCustomer, KindDrain:
	default:
		faults.Add("kind", "is %q, must be profile, customer or drain", change.Kind)
		return faults
	}
	if change.Value != nil {
		faults = append(faults, change.validateValue()...)
	}
	return faults
}

func validateLabel(faults *peridotpath.Faults, path, label string) {
	if label == "" || len(label) > maxLabelBytes {
		faults.Add(path, "has %d bytes, must have from 1 to %d", len(label), maxLabelBytes)
	}
	for _, r := range label {
		if !unicode.IsPrint(r) {
			faults.Add(path, "has the character %q; printing characters are allowed", r)
			return
		}
	}
}

func (change *Change) validateValue() peridotpath.Faults {
	switch change.Kind {
	case KindProfile:
		profile, faults := DecodeProfile(change.Value)
		return change.setStoredValue(profile, string(profile.Name), faults)
	case KindCustomer:
		customer, faults := DecodeCustomer(change.Value)
		return change.setStoredValue(customer, string(customer.ID), faults)
	default:
		drain, faults := decodeDrain(change.Value)
		return change.setStoredValue(drain, string(drain.Endpoint), faults)
	}
}

// setStoredValue replaces the value by its stored form, unless there are faults.
func (change *Change) setStoredValue(value any, name string, faults peridotpath.Faults) peridotpath.Faults {
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

// DecodeProfile decodes a profile strictly, fills in defaults and validates it.
func DecodeProfile(text []byte) (*peridotpath.Profile, peridotpath.Faults) {
	return decodeItem[peridotpath.Profile](text, KindProfile)
}

// DecodeCustomer decodes a customer strictly, fills in defaults and validates it.
func DecodeCustomer(text []byte) (*peridotpath.Customer, peridotpath.Faults) {
	return decodeItem[peridotpath.Customer](text, KindCustomer)
}

// defaultsValidator is the constraint of a pointer to a domain type with defaults and validation.
type defaultsValidator[T any] interface {
	*T
	Defaults()
	Validate(prefix string) peridotpath.Faults
}

func decodeItem[T any, P defaultsValidator[T]](text []byte, kind Kind) (*T, peridotpath.Faults) {
	item := P(new(T))
	faults := decode(text, item, kind)
	item.Defaults()
	return item, faults.Merge(item.Validate(string(kind)))
}

func decodeDrain(text []byte) (*Drain, peridotpath.Faults) {
	drain := &Drain{}
	faults := decode(text, drain, KindDrain)
	if len(drain.Reason) > maxLabelBytes {
		faults.Add("drain.reason", "has %d bytes, at most %d are allowed", len(drain.Reason), maxLabelBytes)
	}
	return drain, faults
}

// decode decodes value strictly and prefixes the faults' paths with kind.
func decode(text []byte, value any, kind Kind) peridotpath.Faults {
	faults := strictjson.Decode(text, value, strictjson.AllowMissing)
	for i := range faults {
		faults[i].Path = fmt.Sprintf("%s.%s", kind, faults[i].Path)
	}
	return faults
}

// conflict returns a *Conflict unless the item is at the change's base revision.
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
		Yours: change.Value, Theirs: item.Value, Last: current.lastEvent(change.Name),
	}
}

// clashes returns a fault for each name or key of the changed item that another item
// already uses. It checks the items of the same document as just read, and those of other
// documents as active on this instance. Two concurrent changes of different documents can
// therefore both be accepted with the same key; peridotpath.Config then assigns the key to
// the lower customer id.
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
	others, err := decodeItems[peridotpath.Profile](current)
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

// claimNames returns a fault for each name or alias of profile that is already used, by
// another profile or by profile itself.
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
	others, err := decodeItems[peridotpath.Customer](current)
	if err != nil {
		return nil, err
	}
	if active := snapshot.Config.CustomerByKeySHA256(customer.KeySHA256); active != nil {
		others = append(others, active)
	}
	for _, other := range others {
		if other.ID != customer.ID && other.KeySHA256 == customer.KeySHA256 {
			faults.Add("customer.key_sha256", "is the key of customer %s", other.ID)
			break
		}
	}
	return faults, nil
}
