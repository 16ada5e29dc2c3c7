package decide

import "sync/atomic"

// source is a SplitMix64 generator whose state is one atomic counter. A rand.Rand
// on it is safe for concurrent use without a lock, and reproducible for a given
// seed when used from one goroutine.
type source struct {
	state atomic.Uint64
}

// Uint64 returns the next number.
func (source *source) Uint64() uint64 {
	return mix(source.state.Add(0x9e3779b97f4a7c15))
}

// mix is the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
