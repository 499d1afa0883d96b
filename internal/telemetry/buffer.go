package telemetry

import (
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait for a slow reader of the log.
	bufferBytes = 1 << 20
	// flushDelay is how long a line may wait to be written together with others.
	// A system call for each line costs more than all else of a line.
	flushDelay = 50 * time.Millisecond
)

// Buffer collects lines and writes them in the background, so that nothing waits
// for the reader of the log. Lines that it has no room for are lost and counted.
// It is safe for concurrent use.
type Buffer struct {
	out io.Writer
	// writing is held during a write.
	writing sync.Mutex

	mu sync.Mutex
	// lines waits to be written; spare is the buffer that was written last.
	lines, spare []byte
	scheduled    bool
	missed       int
}

// NewBuffer returns a buffer before out.
func NewBuffer(out io.Writer) *Buffer { return &Buffer{out: out} }

// Write takes one line.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines)+len(line) > bufferBytes {
		b.missed++
		return len(line), nil
	}
	b.lines = append(b.lines, line...)
	if !b.scheduled {
		b.scheduled = true
		time.AfterFunc(flushDelay, b.flush)
	}
	return len(line), nil
}

// flush writes what has been collected. A failed write means that nobody reads
// the log any more; there is no place to say so.
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

// Missed returns how many lines were lost since its last call.
func (b *Buffer) Missed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	missed := b.missed
	b.missed = 0
	return missed
}

// Close writes what is left.
func (b *Buffer) Close() error {
	b.flush()
	return nil
}
