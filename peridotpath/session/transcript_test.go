package session_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/engine"
)

var update = flag.Bool("update", false, "write the golden files anew")

// transcript is the text of a session.
type transcript struct {
	t     *testing.T
	fleet *fleet
	began time.Time

	mu   sync.Mutex
	text strings.Builder
}

// line returns a line with the time since the session's beginning.
func (transcript *transcript) line(format string, args ...any) string {
	return fmt.Sprintf("%9.3f ", time.Since(transcript.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
}

func (transcript *transcript) add(text string) {
	transcript.mu.Lock()
	defer transcript.mu.Unlock()
	transcript.text.WriteString(text)
}

func (transcript *transcript) note(format string, args ...any) {
	transcript.add(transcript.line(format, args...))
}

// title begins a scene.
func (transcript *transcript) title(text string) { transcript.add("\n# " + text + "\n") }

// ask is one call of a caller.
type ask struct {
	instance peridotpath.InstanceID
	name     string
	method   string
	path     string
	key      string
	body     string
	header   map[string]string
	// leaveAfter ends the call after so many events.
	leaveAfter int
}

// patience ends a call that never ends by itself, in the session's own time.
const patience = 20 * time.Second

// send makes the call, notes it and its answer, and returns the id of the last event.
func (transcript *transcript) send(ask ask) string {
	return transcript.begin(ask)()
}

// begin makes the call and returns what waits for its answer. Answers are noted
// then, so that calls that go on at the same time have a fixed order.
func (transcript *transcript) begin(ask ask) (wait func() string) {
	answer := &answer{transcript: transcript, name: ask.name, leaveAfter: ask.leaveAfter, ended: make(chan struct{})}
	request := transcript.request(&ask)
	go func() {
		defer close(answer.ended)
		answer.take(request)
	}()
	return func() string {
		<-answer.ended
		transcript.add(answer.text.String())
		return answer.last
	}
}

// answer is one answer as its caller sees it.
type answer struct {
	transcript *transcript
	name       string
	leaveAfter int
	text       strings.Builder
	last       string
	ended      chan struct{}
}

func (answer *answer) note(format string, args ...any) {
	answer.text.WriteString(answer.transcript.line("< "+answer.name+" "+format, args...))
}

func (answer *answer) take(request *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	response, err := answer.transcript.fleet.network.Do(request.WithContext(ctx))
	if err != nil {
		answer.note("connection broken")
		return
	}
	defer response.Body.Close()
	answer.note("%d%s", response.StatusCode, headers(response.Header))
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.events(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	answer.note("%s%s", shorten(strings.TrimSpace(string(body))), broken(err))
}

func (transcript *transcript) request(ask *ask) *http.Request {
	address := transcript.fleet.instances[ask.instance].address
	request, err := http.NewRequest(ask.method, "http://"+address.String()+ask.path, strings.NewReader(ask.body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+ask.key)
	request.Header.Set(caller.HeaderRequestID, ask.name)
	given := ""
	for _, name := range slices.Sorted(maps.Keys(ask.header)) {
		request.Header.Set(name, ask.header[name])
		given += fmt.Sprintf(" %s=%q", name, shortenCursor(ask.header[name]))
	}
	transcript.note("> %s %s %s %s%s %s", ask.name, ask.instance, ask.method, ask.path, given, shorten(ask.body))
	return request
}

// events notes the events of a stream as they come.
func (answer *answer) events(stream io.Reader) {
	count := 0
	lines := bufio.NewReader(stream)
	for {
		line, err := lines.ReadString('\n')
		line = strings.TrimSuffix(line, "\n")
		if err != nil {
			answer.note("end of stream%s", broken(err))
			return
		}
		if id, found := strings.CutPrefix(line, "id: "); found {
			answer.last = id
			line = "id: " + shortenCursor(id)
		}
		if line != "" {
			answer.note("%s", shorten(line))
			continue
		}
		count++
		if count == answer.leaveAfter {
			answer.note("leaves")
			return
		}
	}
}

func broken(err error) string {
	if err == nil || errors.Is(err, io.EOF) {
		return ""
	}
	return " (broken off)"
}

// headers returns the headers that this system adds for callers.
func headers(header http.Header) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if strings.HasPrefix(name, "Peridotpath-") || name == "Retry-After" || name == "Content-Type" {
			text += fmt.Sprintf(" %s=%q", name, header.Get(name))
		}
	}
	return text
}

const longest = 240

// shorten keeps a long text's two ends and its length.
func shorten(text string) string {
	if len(text) <= longest {
		return text
	}
	return fmt.Sprintf("%s...%s (%d bytes)", text[:longest/2], text[len(text)-longest/4:], len(text))
}

var cursorToken = regexp.MustCompile(`^[A-Za-z0-9_-]{40,}\.`)

// shortenCursor keeps the offset of a cursor.
func shortenCursor(text string) string { return cursorToken.ReplaceAllString(text, "CURSOR.") }

var logTime = regexp.MustCompile(`^time=\S+ `)

// log takes an instance's log, a line a call.
type log struct {
	transcript *transcript

	mu    sync.Mutex
	lines []string
}

// Write notes a line with the session's time in the place of its own.
func (log *log) Write(line []byte) (int, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	text := logTime.ReplaceAllString(strings.TrimSpace(string(line)), "")
	log.lines = append(log.lines, log.transcript.line("%s", text))
	return len(line), nil
}

// sorted returns the lines by time, and those of the same moment by their text.
func (log *log) sorted() []string {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Sorted(slices.Values(log.lines))
}

// finish adds the log lines and what the endpoints ran, and compares the whole
// with the golden file.
func (transcript *transcript) finish(name string) {
	transcript.t.Helper()
	fleet := transcript.fleet
	for _, id := range fleet.deployment.instances {
		transcript.title("log of " + string(id))
		for _, line := range fleet.instances[id].log.sorted() {
			transcript.add(line)
		}
	}
	transcript.title("what the endpoints ran")
	for i := range fleet.services {
		transcript.counts(fleet.endpoints[i+1].ID, fleet.services[i].Counts())
	}
	transcript.counts(fleet.endpoints[0].ID, fleet.engine.Counts())
	load := fleet.engine.Load()
	fmt.Fprintf(&transcript.text, "%s running=%d waiting=%d kv_used=%d\n", fleet.endpoints[0].ID, load.Running, load.Waiting, load.KVUsed)
	transcript.compare(filepath.Join("testdata", name+".golden"))
}

func (transcript *transcript) counts(endpoint peridotpath.EndpointID, counts engine.Counts) {
	for _, id := range slices.Sorted(maps.Keys(counts.Requests)) {
		count := counts.Requests[id]
		fmt.Fprintf(&transcript.text, "%s request=%s runs=%d finished=%d cancelled=%d refused=%d\n",
			endpoint, id, count.Runs, count.Finished, count.Cancelled, count.Refused)
	}
}

func (transcript *transcript) compare(path string) {
	transcript.t.Helper()
	have := strings.TrimLeft(transcript.text.String(), "\n")
	if *update {
		if err := os.WriteFile(path, []byte(have), 0o644); err != nil {
			transcript.t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		transcript.t.Fatal(err)
	}
	haveLines, wantLines := strings.Split(have, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(haveLines), len(wantLines)) {
		if i >= len(haveLines) || i >= len(wantLines) || haveLines[i] != wantLines[i] {
			transcript.t.Fatalf("%s, line %d:\nwant %s\nhave %s", path, i+1, at(wantLines, i), at(haveLines, i))
		}
	}
}

func at(lines []string, i int) string {
	if i >= len(lines) {
		return "(end)"
	}
	return lines[i]
}
