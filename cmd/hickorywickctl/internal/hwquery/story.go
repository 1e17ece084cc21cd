package hwquery

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// logEntry is a parsed log line and the process that wrote it.
type logEntry struct {
	process string
	at      time.Time
	fields  map[string]any
}

// The bounds of a timeline.
const (
	// stateChangeWindow is how long before a request's lines the state changes of its process are shown.
	stateChangeWindow = 10 * time.Second
	// upstreamEventWindow is how long before and after a request's lines the events of its upstreams are shown.
	upstreamEventWindow = 3 * time.Second
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
)

// stateChangeEvents are the events by which a process changes its view of the store, its document or settings, or its own state.
var stateChangeEvents = map[string]bool{
	"router-started": true, "router-stopping": true, "document-in-force": true, "document-refused": true,
	"store-unreachable": true, "store-reachable": true, "settings-reloaded": true, "settings-refused": true, "lines-dropped": true,
}

// RequestNotInLogsError reports that no line of the saved logs has the id of a request.
type RequestNotInLogsError struct {
	Request string
}

// Error returns the error text with the id of the request.
func (e *RequestNotInLogsError) Error() string {
	return "no line in the saved logs has request id " + e.Request
}

// Timeline prints a request's lines from the saved logs of several processes in the order of time, with the preceding state changes of its processes and the events of its upstreams around that time. Each file holds one process's log. Text before the JSON of a line is skipped.
func Timeline(out io.Writer, request string, files []string) error {
	var all []logEntry
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return trace.Wrap(err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logEntry) int { return a.at.Compare(b.at) })
	var requestLines []logEntry
	for _, l := range all {
		if l.text("request-id") == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return &RequestNotInLogsError{
			Request: request,
		}
	}
	for _, l := range all {
		if l.text("request-id") == request || l.isContextFor(requestLines) {
			if err := l.print(out, request); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func readLog(path string) ([]logEntry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	process := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	var lines []logEntry
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		l := logEntry{
			process: process,
		}
		// Output of the process that is not a JSON log line is skipped.
		if json.Unmarshal(text[begin:], &l.fields) != nil {
			continue
		}
		if at, err := time.Parse(time.RFC3339Nano, l.text("time")); err == nil {
			l.at = at
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func (l logEntry) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

// isContextFor reports whether a line gives context for the lines of a request: a state change of the same process shortly before one of them, or an event of one of their upstreams.
func (l logEntry) isContextFor(requestLines []logEntry) bool {
	if l.fields["request-id"] != nil {
		return false
	}
	for _, r := range requestLines {
		elapsed := r.at.Sub(l.at)
		if stateChangeEvents[l.text("name")] && l.process == r.process && elapsed >= 0 && elapsed <= stateChangeWindow {
			return true
		}
		if upstream := l.text("upstream"); upstream != "" && upstream == r.text("upstream") && elapsed.Abs() <= upstreamEventWindow {
			return true
		}
	}
	return false
}

// print writes time, process, event name and the other fields sorted by name. An asterisk marks the lines of the request itself.
func (l logEntry) print(out io.Writer, request string) error {
	mark := " "
	if l.text("request-id") == request {
		mark = "*"
	}
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if name != "time" && name != "level" && name != "event" && name != "name" && name != "request-id" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	var b strings.Builder
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	_, err := fmt.Fprintf(out, "%s %s %-20s %-20s%s\n", mark, l.at.Format("15:04:05.000"), l.process, l.text("name"), b.String())
	return err
}
