package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEmptyLinesAreNoEvents guards against empty lines between the events of a numbered stream that reach the caller, who may
// take them for an event without an id, and against a sound stream that is refused for a
// byte order mark, a comment or a field of another name. Each text is read in pieces of every size.
func TestEmptyLinesAreNoEvents(t *testing.T) {
	const one, two = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	for name, c := range map[string]struct{ text, want string }{
		"empty lines":         {one + "\n\n\n" + two, one + two},
		"empty lines of CR":   {one + "\r\n\r\n\r\n" + two + "\r\n\r\n", one + two},
		"at the start":        {"\n\n" + one + two, one + two},
		"byte order mark":     {"\ufeff" + one + two, one + two},
		"comment":             {one + ": keep-alive\n\n" + two, one + ": keep-alive\n\n" + two},
		"field of other name": {"version: 3\n" + one + two, "version: 3\n" + one + two},
		"ids with a gap":      {one + "id: 9\ndata: y\n\n", one + "id: 9\ndata: y\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(c.text); size++ {
				s := eventSplitter{order: eventOrder{numbered: true}}
				got := ""
				for from := 0; from < len(c.text); from += size {
					complete, _, err := s.add([]byte(c.text[from:min(len(c.text), from+size)]))
					require.NoError(t, err)
					got += string(complete)
				}
				require.Equal(t, c.want, got, "pieces of %d bytes", size)
				require.False(t, s.insideEvent())
			}
		})
	}
}
