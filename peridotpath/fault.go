package peridotpath

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a document or a settings file.
type Fault struct {
	// Path leads to the field, in the names of the JSON form: "profiles[2].deadline_ms".
	Path string `json:"path"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

// Faults collects all faults of one document. As an error it lists every one.
type Faults []Fault

// Add appends one fault.
func (faults *Faults) Add(path, format string, args ...any) {
	*faults = append(*faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Range adds a fault unless low <= value <= high.
func (faults *Faults) Range(path string, value, low, high int64) {
	if value < low || value > high {
		faults.Add(path, "is %d, must be from %d to %d", value, low, high)
	}
}

// Merge returns the faults with those of more whose paths have none yet: a value
// that couldn't be read needs no second fault for being absent.
func (faults Faults) Merge(more Faults) Faults {
	seen := map[string]bool{}
	for _, fault := range faults {
		seen[fault.Path] = true
	}
	for _, fault := range more {
		if !seen[fault.Path] {
			faults = append(faults, fault)
		}
	}
	return faults
}

// Error lists the faults, one a line.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.Path+": "+fault.Message)
	}
	return strings.Join(lines, "\n")
}

// OrNil returns nil when there is no fault, so that callers can compare with nil.
func (faults Faults) OrNil() error {
	if len(faults) == 0 {
		return nil
	}
	return faults
}
