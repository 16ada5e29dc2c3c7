// Package logline parses the key=value log lines of instances.
package logline

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
)

// Line is one line of an instance's log: its key=value pairs and its raw text.
type Line struct {
	Pairs map[string]string
	Text  string
}

// Event returns the name of the event.
func (line *Line) Event() string { return line.Pairs["event"] }

// Number returns the value of key as a number; zero where it is missing or not a number.
func (line *Line) Number(key string) float64 {
	value, err := strconv.ParseFloat(line.Pairs[key], 64)
	if err != nil {
		return 0
	}
	return value
}

// maxLineBytes bounds one line, in bytes. Lines that instances write are shorter.
const maxLineBytes = 1 << 20

// Parse parses the pairs of a line; false for a line without an event. Text before the
// first pair, such as a log collector's prefix, is skipped.
func Parse(text string) (Line, bool) {
	line := Line{Pairs: map[string]string{}, Text: text}
	for rest := text; rest != ""; {
		rest = strings.TrimLeft(rest, " \t")
		end := strings.IndexAny(rest, "= \t")
		if end < 0 {
			break
		}
		if rest[end] != '=' {
			rest = rest[end:]
			continue
		}
		key := rest[:end]
		var value string
		value, rest = cutValue(rest[end+1:])
		line.Pairs[key] = value
	}
	return line, line.Pairs["event"] != ""
}

// cutValue returns the unquoted value at the start of text, and the rest of text.
func cutValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		end := strings.IndexAny(text, " \t")
		if end < 0 {
			return text, ""
		}
		return text[:end], text[end:]
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		// The line was truncated within the value.
		return text[1:], ""
	}
	value, err = strconv.Unquote(quoted)
	if err != nil {
		value = quoted
	}
	return value, text[len(quoted):]
}

// ReadFiles calls handle for each event line of the files, and returns the number of other
// lines.
func ReadFiles(paths []string, handle func(Line)) (skipped int, err error) {
	for _, path := range paths {
		count, err := readFile(path, handle)
		skipped += count
		if err != nil {
			return skipped, err
		}
	}
	return skipped, nil
}

func readFile(path string, handle func(Line)) (skipped int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			// The rest of an overlong line is skipped; the buffer parses as a
			// truncated line.
			_, err = reader.ReadSlice('\n')
		}
		if line, ok := Parse(strings.TrimRight(string(text), "\r\n")); ok {
			handle(line)
		} else if len(text) > 0 {
			skipped++
		}
		if errors.Is(err, io.EOF) {
			return skipped, nil
		}
		if err != nil {
			return skipped, err
		}
	}
}
