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

// logLine is a saved log line and the process that wrote it.
type logLine struct {
	process string
	at      time.Time
	fields  map[string]any
}

// The bounds of a story.
const (
	// beliefContext is how long before a request's lines a change of what its process believed is shown.
	beliefContext = 10 * time.Second
	// upstreamContext is how far around a request's lines the events of its upstreams are shown.
	upstreamContext = 3 * time.Second
	// largestLine bounds a log line, in bytes.
	largestLine = 1 << 20
)

// beliefs are the events that change what a process believes about the store, the document or itself.
var beliefs = map[string]bool{
	"router-started": true, "router-stopping": true, "document-in-force": true, "document-refused": true,
	"store-unreachable": true, "store-reachable": true, "settings-reloaded": true, "settings-refused": true, "lines-dropped": true,
}

// RequestNotInLogsError says that the saved logs do not know a request.
type RequestNotInLogsError struct {
	Request string
}

// Error names the request.
func (e *RequestNotInLogsError) Error() string {
	return "no saved line has the request id " + e.Request
}

// Timeline prints a request's lines from the saved logs of several processes in the order of time, with what its processes believed and what happened to its upstreams around then. Each file holds one process's log; what stands before a line's JSON is left out.
func Timeline(out io.Writer, request string, files []string) error {
	var all []logLine
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return trace.Wrap(err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	var own []logLine
	for _, l := range all {
		if l.text("request-id") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return &RequestNotInLogsError{
			Request: request,
		}
	}
	for _, l := range all {
		if l.text("request-id") == request || l.explains(own) {
			if err := l.print(out, request); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	process := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, largestLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		l := logLine{
			process: process,
		}
		// Anything else that a process wrote is not part of a story.
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

func (l logLine) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

// explains reports whether a line tells something about the time of a request's lines: a change of belief in the same process before them, or an event at one of their upstreams.
func (l logLine) explains(own []logLine) bool {
	if l.fields["request-id"] != nil {
		return false
	}
	for _, o := range own {
		distance := o.at.Sub(l.at)
		if beliefs[l.text("name")] && l.process == o.process && distance >= 0 && distance <= beliefContext {
			return true
		}
		if upstream := l.text("upstream"); upstream != "" && upstream == o.text("upstream") && distance.Abs() <= upstreamContext {
			return true
		}
	}
	return false
}

// print writes a line: time, process, event, then the fields in the order of their names.
func (l logLine) print(out io.Writer, request string) error {
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
