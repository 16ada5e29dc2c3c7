package peridotpath

// LengthClass groups prompts by length. Metrics are labelled with the class and not with
// the exact length, which bounds their cardinality.
type LengthClass uint8

// The classes, shortest first, with their bounds in tokens.
const (
	Short         LengthClass = iota // below 8,000
	Medium                           // 8,000 to 99,999
	Long                             // 100,000 up to the KV cache of one engine
	Oversize                         // more than the KV cache of one engine
	LengthClasses                    // the number of classes
)

const (
	// ShortBelow is the exclusive upper bound of Short.
	ShortBelow Tokens = 8_000
	// LongFrom is the lower bound of Long.
	LongFrom Tokens = 100_000
	// MaxPrompt is the longest prompt that any profile accepts.
	MaxPrompt Tokens = 1_100_000
)

// ClassOf returns the class of a prompt that needs the given tokens of KV cache, where one
// engine has a capacity of engineCapacity. While the capacity is unknown it is zero, and
// no prompt is Oversize.
func ClassOf(prompt, engineCapacity Tokens) LengthClass {
	switch {
	case engineCapacity > 0 && prompt > engineCapacity:
		return Oversize
	case prompt >= LongFrom:
		return Long
	case prompt >= ShortBelow:
		return Medium
	default:
		return Short
	}
}

// String returns the name of the class in metrics and logs.
func (class LengthClass) String() string {
	names := [...]string{"short", "medium", "long", "oversize"}
	if int(class) < len(names) {
		return names[class]
	}
	return "unknown"
}
