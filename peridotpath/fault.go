package peridotpath

import (
	"fmt"
	"strings"
)

// Fault is one validation error in a document or a settings file.
type Fault struct {
	// Path is the path of the field by its JSON names, for example "profiles[2].deadline_ms".
	Path string `json:"path"`
	// Message states the error and the allowed values.
	Message string `json:"message"`
}

// Faults are all faults of one document. As an error it lists all of them.
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

// Merge adds the faults of more whose paths have none yet. A value that failed to parse
// then has no second fault for being absent.
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

// Error lists the faults, one per line.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.Path+": "+fault.Message)
	}
	return strings.Join(lines, "\n")
}

// OrNil returns nil when there is no fault, so that callers can compare the error with nil.
func (faults Faults) OrNil() error {
	if len(faults) == 0 {
		return nil
	}
	return faults
}
