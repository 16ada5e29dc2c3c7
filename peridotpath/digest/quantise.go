package digest

import "math/bits"

const (
	// minInexact is the smallest figure that is not represented exactly.
	minInexact = 16
	// codesPerDoubling is the number of codes per power of two. With eight the
	// relative error is at most one sixteenth, less than the effect of the
	// reporting delay on a prediction, and small variations of a figure keep
	// its code and are not sent.
	codesPerDoubling = 8
)

// Quantise returns the logarithmic code of a figure; negative figures count as
// zero.
func Quantise(figure int64) uint32 {
	if figure < minInexact {
		return uint32(max(figure, 0))
	}
	shift := bits.Len64(uint64(figure)) - 4
	return uint32(codesPerDoubling*shift) + uint32(figure>>shift)
}

// Dequantise returns the midpoint of the figures that have the code.
func Dequantise(code uint32) int64 {
	if code < minInexact {
		return int64(code)
	}
	shift := min(code/codesPerDoubling-1, 59)
	mantissa := int64(code - codesPerDoubling*shift)
	return mantissa<<shift + int64(1)<<shift/2
}
