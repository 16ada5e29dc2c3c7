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

var updateGolden = flag.Bool("update", false, "write the golden files anew")

// transcript is the text of a session, which is compared with a golden file.
type transcript struct {
	t         *testing.T
	fleet     *fleet
	startedAt time.Time

	mu   sync.Mutex
	text strings.Builder
}

// formatLine formats a line that starts with the time since the session's start.
func (transcript *transcript) formatLine(format string, args ...any) string {
	return fmt.Sprintf("%9.3f ", time.Since(transcript.startedAt).Seconds()) + fmt.Sprintf(format, args...) + "\n"
}

func (transcript *transcript) appendText(text string) {
	transcript.mu.Lock()
	defer transcript.mu.Unlock()
	transcript.text.WriteString(text)
}

func (transcript *transcript) appendLine(format string, args ...any) {
	transcript.appendText(transcript.formatLine(format, args...))
}

// appendTitle adds the heading of a section.
func (transcript *transcript) appendTitle(text string) { transcript.appendText("\n# " + text + "\n") }

// clientRequest is one request of a caller.
type clientRequest struct {
	instance peridotpath.InstanceID
	name     string
	method   string
	path     string
	key      string
	body     string
	header   map[string]string
	// disconnectAfter is the number of events after which the caller disconnects, zero for
	// never.
	disconnectAfter int
}

// clientTimeout is the client timeout of a call, in the session's synthetic time.
const clientTimeout = 20 * time.Second

// send makes the call, records it and its answer, and returns the id of the last event.
func (transcript *transcript) send(request clientRequest) string {
	return transcript.startRequest(request)()
}

// startRequest starts the call and returns a function that waits for its answer.
// The answer is recorded in that function, so that concurrent calls have a fixed
// order.
func (transcript *transcript) startRequest(clientRequest clientRequest) (wait func() string) {
	answer := &recordedAnswer{transcript: transcript, name: clientRequest.name, disconnectAfter: clientRequest.disconnectAfter, ended: make(chan struct{})}
	request := transcript.newRequest(&clientRequest)
	go func() {
		defer close(answer.ended)
		answer.receive(request)
	}()
	return func() string {
		<-answer.ended
		transcript.appendText(answer.text.String())
		return answer.lastEventID
	}
}

// recordedAnswer records one answer as its caller receives it.
type recordedAnswer struct {
	transcript      *transcript
	name            string
	disconnectAfter int
	text            strings.Builder
	lastEventID     string
	ended           chan struct{}
}

func (recordedAnswer *recordedAnswer) appendLine(format string, args ...any) {
	recordedAnswer.text.WriteString(recordedAnswer.transcript.formatLine("< "+recordedAnswer.name+" "+format, args...))
}

func (recordedAnswer *recordedAnswer) receive(request *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	response, err := recordedAnswer.transcript.fleet.network.Do(request.WithContext(ctx))
	if err != nil {
		recordedAnswer.appendLine("connection broken")
		return
	}
	defer response.Body.Close()
	recordedAnswer.appendLine("%d%s", response.StatusCode, callerHeaders(response.Header))
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		recordedAnswer.receiveEvents(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	recordedAnswer.appendLine("%s%s", shorten(strings.TrimSpace(string(body))), brokenSuffix(err))
}

func (transcript *transcript) newRequest(clientRequest *clientRequest) *http.Request {
	address := transcript.fleet.instances[clientRequest.instance].address
	request, err := http.NewRequest(clientRequest.method, "http://"+address.String()+clientRequest.path, strings.NewReader(clientRequest.body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+clientRequest.key)
	request.Header.Set(caller.HeaderRequestID, clientRequest.name)
	headerText := ""
	for _, name := range slices.Sorted(maps.Keys(clientRequest.header)) {
		request.Header.Set(name, clientRequest.header[name])
		headerText += fmt.Sprintf(" %s=%q", name, shortenCursor(clientRequest.header[name]))
	}
	transcript.appendLine("> %s %s %s %s%s %s", clientRequest.name, clientRequest.instance, clientRequest.method, clientRequest.path, headerText, shorten(clientRequest.body))
	return request
}

// receiveEvents records the events of a stream as they arrive.
func (recordedAnswer *recordedAnswer) receiveEvents(stream io.Reader) {
	count := 0
	lines := bufio.NewReader(stream)
	for {
		line, err := lines.ReadString('\n')
		line = strings.TrimSuffix(line, "\n")
		if err != nil {
			recordedAnswer.appendLine("end of stream%s", brokenSuffix(err))
			return
		}
		if id, found := strings.CutPrefix(line, "id: "); found {
			recordedAnswer.lastEventID = id
			line = "id: " + shortenCursor(id)
		}
		if line != "" {
			recordedAnswer.appendLine("%s", shorten(line))
			continue
		}
		count++
		if count == recordedAnswer.disconnectAfter {
			recordedAnswer.appendLine("disconnects")
			return
		}
	}
}

func brokenSuffix(err error) string {
	if err == nil || errors.Is(err, io.EOF) {
		return ""
	}
	return " (interrupted)"
}

// callerHeaders returns the response headers that are part of the callers' interface.
func callerHeaders(header http.Header) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if strings.HasPrefix(name, "Peridotpath-") || name == "Retry-After" || name == "Content-Type" {
			text += fmt.Sprintf(" %s=%q", name, header.Get(name))
		}
	}
	return text
}

const maxShortened = 240

// shorten replaces a long text by its start, its end and its length.
func shorten(text string) string {
	if len(text) <= maxShortened {
		return text
	}
	return fmt.Sprintf("%s...%s (%d bytes)", text[:maxShortened/2], text[len(text)-maxShortened/4:], len(text))
}

var cursorTokenPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{40,}\.`)

// shortenCursor replaces a cursor's token and keeps its offset.
func shortenCursor(text string) string { return cursorTokenPattern.ReplaceAllString(text, "CURSOR.") }

var logTimePattern = regexp.MustCompile(`^time=\S+ `)

// instanceLog collects an instance's log, one line for each call of Write.
type instanceLog struct {
	transcript *transcript

	mu    sync.Mutex
	lines []string
}

// Write records a line with the session's time in place of its timestamp.
func (instanceLog *instanceLog) Write(line []byte) (int, error) {
	instanceLog.mu.Lock()
	defer instanceLog.mu.Unlock()
	text := logTimePattern.ReplaceAllString(strings.TrimSpace(string(line)), "")
	instanceLog.lines = append(instanceLog.lines, instanceLog.transcript.formatLine("%s", text))
	return len(line), nil
}

// sortedLines returns the lines by time, and lines of the same time by their text.
func (instanceLog *instanceLog) sortedLines() []string {
	instanceLog.mu.Lock()
	defer instanceLog.mu.Unlock()
	return slices.Sorted(slices.Values(instanceLog.lines))
}

// finish adds the log lines and the requests that the endpoints ran, and compares
// the transcript with the golden file.
func (transcript *transcript) finish(name string) {
	transcript.t.Helper()
	fleet := transcript.fleet
	for _, id := range fleet.deployment.instances {
		transcript.appendTitle("log of " + string(id))
		for _, line := range fleet.instances[id].log.sortedLines() {
			transcript.appendText(line)
		}
	}
	transcript.appendTitle("the requests that the endpoints ran")
	for i := range fleet.services {
		transcript.appendCounts(fleet.endpoints[i+1].ID, fleet.services[i].Counts())
	}
	transcript.appendCounts(fleet.endpoints[0].ID, fleet.engine.Counts())
	load := fleet.engine.Load()
	fmt.Fprintf(&transcript.text, "%s running=%d waiting=%d kv_used=%d\n", fleet.endpoints[0].ID, load.Running, load.Waiting, load.KVUsed)
	transcript.compareGolden(filepath.Join("testdata", name+".golden"))
}

func (transcript *transcript) appendCounts(endpoint peridotpath.EndpointID, counts engine.Counts) {
	for _, id := range slices.Sorted(maps.Keys(counts.Requests)) {
		count := counts.Requests[id]
		fmt.Fprintf(&transcript.text, "%s request=%s runs=%d finished=%d cancelled=%d refused=%d\n",
			endpoint, id, count.Runs, count.Finished, count.Cancelled, count.Refused)
	}
}

func (transcript *transcript) compareGolden(path string) {
	transcript.t.Helper()
	have := strings.TrimLeft(transcript.text.String(), "\n")
	if *updateGolden {
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
			transcript.t.Fatalf("%s, line %d:\nwant %s\nhave %s", path, i+1, lineAt(wantLines, i), lineAt(haveLines, i))
		}
	}
}

func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return "(end)"
	}
	return lines[i]
}
