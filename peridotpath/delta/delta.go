// Package delta encodes a value as a delta to an earlier one that the receiver has, to keep
// transfers of large, slightly changed documents small. It is zstd compression with the
// earlier value as a raw dictionary.
package delta

import (
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("delta")

const (
	// dictionaryID is the zstd dictionary ID of the earlier value.
	dictionaryID = 1
	// minWindowBytes and maxWindowBytes bound the zstd window size, in bytes.
	minWindowBytes = 1 << 16
	maxWindowBytes = 1 << 24
)

// Compute encodes value as a delta to base. With an empty base the result stands alone.
func Compute(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(value) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil), nil
}

// Apply decodes a delta to base. A value of more than limit bytes is refused before
// memory for it is allocated.
func Apply(packed, base []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit)),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(packed, nil)
	return value, Error.Wrap(err)
}

// windowSize returns the least power of two of at least length bytes, within the bounds.
func windowSize(length int) int {
	size := minWindowBytes
	for size < length && size < maxWindowBytes {
		size *= 2
	}
	return size
}
