package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// bufferedLines bounds the lines that wait for a slow reader of the log.
const bufferedLines = 4096

// Buffer writes lines in the background, so that nothing waits for the reader of
// the log. When it is full the oldest lines are lost and counted.
type Buffer struct {
	writer diode.Writer
	missed atomic.Int64
}

// NewBuffer returns a buffer before w. Close writes what is left.
func NewBuffer(w io.Writer) *Buffer {
	b := &Buffer{}
	b.writer = diode.NewWriter(w, bufferedLines, 0, func(missed int) { b.missed.Add(int64(missed)) })
	return b
}

// Write takes one line.
func (b *Buffer) Write(line []byte) (int, error) { return b.writer.Write(line) }

// Missed returns how many lines were lost since its last call.
func (b *Buffer) Missed() int { return int(b.missed.Swap(0)) }

// Close writes what is left and ends the writing.
func (b *Buffer) Close() error { return b.writer.Close() }
