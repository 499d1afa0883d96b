package telemetry

import (
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written to a slow log output.
	bufferBytes = 1 << 20
	// flushDelay is how long a line may wait so that several lines are written in
	// one system call. A call for each line costs more than all other work on it.
	flushDelay = 50 * time.Millisecond
)

// Buffer collects log lines and writes them in the background, so that logging never
// blocks on a slow log output. It drops and counts the lines that exceed its
// capacity. It is safe for concurrent use.
type Buffer struct {
	out io.Writer
	// writing serialises the writes to out.
	writing sync.Mutex

	mu sync.Mutex
	// lines holds the lines to be written; spare is the buffer that was written
	// last and is reused.
	lines, spare []byte
	// scheduled is true while a flush is pending.
	scheduled bool
	// dropped counts the dropped lines since the last call of TakeLost.
	dropped int
}

// NewBuffer returns a buffer that writes to out.
func NewBuffer(out io.Writer) *Buffer { return &Buffer{out: out} }

// Write adds one line, or drops it if the buffer is full. It never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines)+len(line) > bufferBytes {
		b.dropped++
		return len(line), nil
	}
	b.lines = append(b.lines, line...)
	if !b.scheduled {
		b.scheduled = true
		time.AfterFunc(flushDelay, b.flush)
	}
	return len(line), nil
}

// flush writes the collected lines. The error of a write is ignored: it means that
// nobody reads the log any more, so there is nowhere to report it.
func (b *Buffer) flush() {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	lines := b.lines
	b.lines, b.spare, b.scheduled = b.spare[:0], nil, false
	b.mu.Unlock()
	if len(lines) > 0 {
		_, _ = b.out.Write(lines)
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}

// TakeLost returns the number of lines dropped since its last call.
func (b *Buffer) TakeLost() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	dropped := b.dropped
	b.dropped = 0
	return dropped
}

// Close writes the remaining lines.
func (b *Buffer) Close() error {
	b.flush()
	return nil
}
