package main

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
)

// logLine is one line of an instance's log: its key=value pairs, and the text.
type logLine struct {
	pairs map[string]string
	text  string
}

// maxLogLine bounds one line, in bytes; what is longer is no line of ours.
const maxLogLine = 1 << 20

// parseLogLine returns the pairs of a line; false for one without an event. Text
// before the first pair, such as a collector's prefix, is passed over.
func parseLogLine(text string) (logLine, bool) {
	line := logLine{pairs: map[string]string{}, text: text}
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
		line.pairs[key] = value
	}
	return line, line.pairs["event"] != ""
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

// readLogs calls use for each line of the files that is an instance's, and
// returns how many lines were passed over.
func readLogs(paths []string, use func(logLine)) (skipped int, err error) {
	for _, path := range paths {
		count, err := readLog(path, use)
		skipped += count
		if err != nil {
			return skipped, err
		}
	}
	return skipped, nil
}

func readLog(path string, use func(logLine)) (skipped int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, maxLogLine)
	for {
		text, err := reader.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			// Passed over to its end; what is kept of it parses as a cut line.
			_, err = reader.ReadSlice('\n')
		}
		if line, ok := parseLogLine(strings.TrimRight(string(text), "\r\n")); ok {
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
