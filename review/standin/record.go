package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, one event a line, with the time since the start in
// milliseconds.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// printf adds a line.
func (r *record) printf(format string, args ...any) {
	at := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%9.1f %s\n", float64(at)/float64(time.Millisecond), fmt.Sprintf(format, args...))
}

// summary adds a line and prints it to standard output as well.
func (r *record) summary(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writer.Flush()
	r.file.Close()
}
