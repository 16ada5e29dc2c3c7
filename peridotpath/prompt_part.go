package peridotpath

import "strings"

// PartID identifies a part of a prompt that requests share, such as a system prompt or a
// document. It is a hexadecimal number in lower case without leading zeros, so that two
// spellings of one number are equal.
type PartID string

const hexDigits = "0123456789abcdef"

// ParsePartID returns the id of a hexadecimal number, in capitals or not; false if the text
// is none.
func ParsePartID(text string) (PartID, bool) {
	digits := strings.ToLower(strings.TrimSpace(text))
	if digits == "" || strings.Trim(digits, hexDigits) != "" {
		return "", false
	}
	if significant := strings.TrimLeft(digits, "0"); significant != "" {
		return PartID(significant), true
	}
	return "0", true
}
