// Package delta packs a value for somebody who has an earlier one: what both
// share is named and not sent. It speaks zstd with the earlier value as its
// dictionary.
package delta

import (
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("delta")

const (
	// dictionary is the number by which a packed value names the earlier one.
	dictionary = 1
	// minWindow and maxWindow bound how far back a packed value may refer, in bytes.
	minWindow = 1 << 16
	maxWindow = 1 << 24
)

// Pack packs value for somebody who has base; an empty base is for anybody.
func Pack(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window(len(value) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil), nil
}

// Unpack returns the value that was packed for somebody who has base. A value of
// more than limit bytes is refused before it takes any memory.
func Unpack(packed, base []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit)),
		zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(packed, nil)
	return value, Error.Wrap(err)
}

// window returns the least power of two that spans so many bytes.
func window(span int) int {
	size := minWindow
	for size < span && size < maxWindow {
		size *= 2
	}
	return size
}
