package digest

import "math/bits"

const (
	// exact is the first figure that loses precision.
	exact = 16
	// steps is how many codes a doubling has. Eight make the error one
	// sixteenth at most, below what a report's lag does to a prediction, and
	// leave a figure that only wavers unchanged, so that it costs nothing.
	steps = 8
)

// Quantise returns the code of a figure; negative figures count as zero.
func Quantise(figure int64) uint32 {
	if figure < exact {
		return uint32(max(figure, 0))
	}
	shift := bits.Len64(uint64(figure)) - 4
	return uint32(steps*shift) + uint32(figure>>shift)
}

// Figure returns the middle of the figures that have the code.
func Figure(code uint32) int64 {
	if code < exact {
		return int64(code)
	}
	shift := min(code/steps-1, 59)
	mantissa := int64(code - steps*shift)
	return mantissa<<shift + int64(1)<<shift/2
}
