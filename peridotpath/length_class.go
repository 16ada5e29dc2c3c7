package peridotpath

// LengthClass groups prompts by length. Decisions and metrics use the class,
// never the exact length, so that series stay few.
type LengthClass uint8

// The classes, shortest first. Bounds are in tokens, upper bound exclusive.
const (
	Short         LengthClass = iota // below 8,000
	Medium                           // 8,000 to 99,999
	Long                             // 100,000 up to what one engine holds
	Oversize                         // more than one engine holds
	LengthClasses                    // how many classes there are
)

const (
	// ShortBelow is the first length that is no longer Short.
	ShortBelow Tokens = 8_000
	// LongFrom is the first length that is Long.
	LongFrom Tokens = 100_000
	// MaxPrompt is the longest prompt that is accepted at all.
	MaxPrompt Tokens = 1_100_000
)

// ClassOf returns the class of a prompt that needs the given tokens of KV
// cache, where one engine holds at most engineHolds. A zero engineHolds means
// not yet known, and no prompt is Oversize.
func ClassOf(prompt, engineHolds Tokens) LengthClass {
	switch {
	case engineHolds > 0 && prompt > engineHolds:
		return Oversize
	case prompt >= LongFrom:
		return Long
	case prompt >= ShortBelow:
		return Medium
	default:
		return Short
	}
}

// String returns the class as metrics and logs write it.
func (class LengthClass) String() string {
	names := [...]string{"short", "medium", "long", "oversize"}
	if int(class) < len(names) {
		return names[class]
	}
	return "unknown"
}
