package peridotpath

import "fmt"

// Config is the whole configuration set by operators, as one Instance has received it.
// It is immutable and read without locks (copy-on-write).
type Config struct {
	Profiles  []Profile  `json:"profiles"`
	Customers []Customer `json:"customers"`

	profiles  map[string]*Profile
	customers customerIndex
}

// Defaults sets fields that were omitted.
func (config *Config) Defaults() {
	for i := range config.Profiles {
		config.Profiles[i].Defaults()
	}
	for i := range config.Customers {
		config.Customers[i].Defaults()
	}
}

// Validate returns all faults by field. Names, aliases and keys must be unique.
func (config *Config) Validate() Faults {
	var faults Faults
	names := map[string]string{}
	for i := range config.Profiles {
		profile := &config.Profiles[i]
		prefix := fmt.Sprintf("profiles[%d]", i)
		faults = append(faults, profile.Validate(prefix)...)
		checkUnique(&faults, names, prefix+".name", string(profile.Name))
		for j, alias := range profile.Aliases {
			checkUnique(&faults, names, fmt.Sprintf("%s.aliases[%d]", prefix, j), alias)
		}
	}
	ids, keys := map[string]string{}, map[string]string{}
	for i := range config.Customers {
		customer := &config.Customers[i]
		prefix := fmt.Sprintf("customers[%d]", i)
		faults = append(faults, customer.Validate(prefix)...)
		checkUnique(&faults, ids, prefix+".id", string(customer.ID))
		checkUnique(&faults, keys, prefix+".key_sha256", customer.KeySHA256)
	}
	return faults
}

// checkUnique adds a fault when value was seen before, and records its path otherwise.
func checkUnique(faults *Faults, seen map[string]string, path, value string) {
	if first, ok := seen[value]; ok {
		faults.Add(path, "repeats %s", first)
		return
	}
	seen[value] = path
}

// Index builds the lookup tables. It must be called once, before the Config is shared.
func (config *Config) Index() {
	config.indexProfiles()
	config.customers = customerIndex{}
	config.customers.add(config.Customers)
}

func (config *Config) indexProfiles() {
	config.profiles = map[string]*Profile{}
	for i := range config.Profiles {
		profile := &config.Profiles[i]
		config.profiles[string(profile.Name)] = profile
		for _, alias := range profile.Aliases {
			config.profiles[alias] = profile
		}
	}
}

// ReplaceProfiles returns an indexed copy of config with the given profiles. The copy
// shares the customers' lookup table with config.
func (config *Config) ReplaceProfiles(profiles []Profile) *Config {
	next := *config
	next.Profiles = profiles
	next.indexProfiles()
	return &next
}

// ReplaceCustomers returns an indexed copy of config without the customers of before and
// with those of after. Its cost depends on the two lists and not on the number of
// customers, so Customers, the plain list, is nil in the copy. Each customer must be
// allocated separately, because the index keeps pointers into both lists.
func (config *Config) ReplaceCustomers(before, after []*Customer) *Config {
	next := *config
	next.Customers = nil
	next.customers.replace(before, after)
	return &next
}

// Profile returns the profile with that name or alias, or nil.
func (config *Config) Profile(name string) *Profile { return config.profiles[name] }

// CustomerByKey returns the customer that holds the API key, or nil.
func (config *Config) CustomerByKey(key string) *Customer {
	return config.customers.find(HashKey(key))
}

// CustomerByKeySHA256 returns the customer that holds the hashed key, or nil.
func (config *Config) CustomerByKeySHA256(hash string) *Customer {
	return config.customers.find(hash)
}
