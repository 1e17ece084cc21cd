package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each, with the seconds since its start.
type record struct {
	start time.Time
	lock  sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		start: time.Now(),
		file:  file,
		out:   bufio.NewWriter(file),
	}, nil
}

// line writes a line that is only of interest in detail.
func (r *record) line(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// note writes a line to the file and to standard output.
func (r *record) note(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
