//go:build review

package standin2

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Log is the record of a case: what was sent, answered and run.
type Log struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// NewLog creates the record.
func NewLog(path string) (*Log, error) {
	f, err := os.Create(path)
	return &Log{start: time.Now(), file: f}, err
}

// Event writes one line.
func (l *Log) Event(what string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(l.start).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(l.file, b.String())
}

// Since returns the time since the record began.
func (l *Log) Since() time.Duration { return time.Since(l.start) }

// Print writes one line to the record and to standard output.
func (l *Log) Print(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Event(text)
	fmt.Println(text)
}
