// Package logline reads the lines that instances log.
package logline

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
)

// Line is one line of an instance's log: its key=value pairs, and the text.
type Line struct {
	Pairs map[string]string
	Text  string
}

// Event returns what the line is about.
func (line *Line) Event() string { return line.Pairs["event"] }

// Number returns a pair's value; zero where there is none.
func (line *Line) Number(key string) float64 {
	value, err := strconv.ParseFloat(line.Pairs[key], 64)
	if err != nil {
		return 0
	}
	return value
}

// maxLine bounds one line, in bytes; what is longer is no line of ours.
const maxLine = 1 << 20

// Parse returns the pairs of a line; false for one without an event. Text
// before the first pair, such as a collector's prefix, is passed over.
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

// cutValue returns the value at the start of text, unquoted, and what follows.
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
		// The line was cut within the value.
		return text[1:], ""
	}
	value, err = strconv.Unquote(quoted)
	if err != nil {
		value = quoted
	}
	return value, text[len(quoted):]
}

// ReadFiles calls use for each line of the files that is an instance's, and
// returns how many lines were passed over.
func ReadFiles(paths []string, use func(Line)) (skipped int, err error) {
	for _, path := range paths {
		count, err := readFile(path, use)
		skipped += count
		if err != nil {
			return skipped, err
		}
	}
	return skipped, nil
}

func readFile(path string, use func(Line)) (skipped int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, maxLine)
	for {
		text, err := reader.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			// Passed over to its end; what is kept of it parses as a cut line.
			_, err = reader.ReadSlice('\n')
		}
		if line, ok := Parse(strings.TrimRight(string(text), "\r\n")); ok {
			use(line)
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
