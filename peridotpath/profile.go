package peridotpath

import "fmt"

// Profile is the policy for one class of requests. Operators define profiles; a client
// selects one by its name or by a model alias.
type Profile struct {
	Name    ProfileName `json:"name"`
	Service Service     `json:"service"`
	// Aliases are model names that select this profile.
	Aliases []string `json:"aliases,omitempty"`
	// Idempotent is set where a request may be retried after a failed attempt.
	Idempotent bool `json:"idempotent"`
	// Priority orders requests on the engines; higher runs first.
	Priority int `json:"priority"`
	// DeadlineMS is the time from a request's arrival to its end, successful or not.
	DeadlineMS Millis `json:"deadline_ms"`
	// MaxPromptTokens is the longest prompt that is accepted.
	MaxPromptTokens Tokens `json:"max_prompt_tokens"`
	// MaxOutputTokens limits the answer where the request sets no limit.
	MaxOutputTokens Tokens `json:"max_output_tokens"`
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts int `json:"max_attempts"`
	// MaxQueueMS limits the time that a request is queued.
	MaxQueueMS Millis `json:"max_queue_ms"`
	// MaxQueued limits the requests of this profile that are queued on one Instance.
	MaxQueued int `json:"max_queued"`
}

// Bounds of a Profile's fields.
const (
	MaxDeadlineMS  = 6 * 60 * 60 * 1000
	MaxOutput      = 200_000
	MaxAttemptsCap = 5
	MaxQueuedCap   = 10_000
)

// Defaults sets every field that is zero.
func (profile *Profile) Defaults() {
	SetDefault(&profile.DeadlineMS, 60_000)
	SetDefault(&profile.MaxPromptTokens, MaxPrompt)
	SetDefault(&profile.MaxOutputTokens, 1_024)
	SetDefault(&profile.MaxAttempts, 2)
	SetDefault(&profile.MaxQueueMS, profile.DeadlineMS/2)
	SetDefault(&profile.MaxQueued, 200)
}

// Validate returns all faults, with their paths below prefix.
func (profile *Profile) Validate(prefix string) Faults {
	var faults Faults
	CheckName(&faults, prefix+".name", string(profile.Name))
	CheckName(&faults, prefix+".service", string(profile.Service))
	for i, alias := range profile.Aliases {
		CheckName(&faults, fmt.Sprintf("%s.aliases[%d]", prefix, i), alias)
	}
	faults.Range(prefix+".priority", int64(profile.Priority), 0, 9)
	faults.Range(prefix+".deadline_ms", int64(profile.DeadlineMS), 10, MaxDeadlineMS)
	faults.Range(prefix+".max_prompt_tokens", int64(profile.MaxPromptTokens), 1, int64(MaxPrompt))
	faults.Range(prefix+".max_output_tokens", int64(profile.MaxOutputTokens), 1, MaxOutput)
	faults.Range(prefix+".max_attempts", int64(profile.MaxAttempts), 1, MaxAttemptsCap)
	faults.Range(prefix+".max_queue_ms", int64(profile.MaxQueueMS), 0, int64(profile.DeadlineMS))
	faults.Range(prefix+".max_queued", int64(profile.MaxQueued), 0, MaxQueuedCap)
	return faults
}

// SetDefault sets *field to value if it is zero.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

const maxNameBytes = 64

// CheckName adds a fault unless name is 1 to 64 letters, digits, '-', '_', '.' or '/'.
func CheckName(faults *Faults, path, name string) {
	if name == "" {
		faults.Add(path, "is missing")
		return
	}
	if len(name) > maxNameBytes {
		faults.Add(path, "is %d bytes long, at most %d are allowed", len(name), maxNameBytes)
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' && r != '/' {
			faults.Add(path, "has the character %q; letters, digits, - _ . / are allowed", r)
			return
		}
	}
}
