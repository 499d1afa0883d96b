package answerhead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"
)

// statusLines are drawn for heads; the invalid ones are those that net/http accepts too.
var statusLines = []struct {
	text           string
	valid, interim bool
}{
	{"HTTP/1.1 200 OK", true, false}, {"HTTP/1.0 404 Not Found", true, false}, {"HTTP/1.1 599", true, false},
	{"HTTP/1.1 500 ", true, false}, {"HTTP/1.1 200 \xc3\xa4 \t!", true, false}, {"HTTP/1.1 100 Continue", true, true},
	{"HTTP/1.1 103 Early Hints", true, true}, {"HTTP/1.1 101 Switching Protocols", false, true}, {"HTTP/1.1 000 OK", false, false},
	{"HTTP/1.1 099 OK", false, false}, {"HTTP/1.1 600 OK", false, false}, {"HTTP/1.1 +20 OK", false, false},
	{"HTTP/2.0 200 OK", false, false}, {"HTTP/1.1 200 O\x00K", false, false}, {"HTTP/1.1 2000 OK", false, false}, {"", false, false},
}

// fieldLines are drawn for heads.
var fieldLines = []struct {
	text  string
	valid bool
}{
	{"A: b", true}, {"!#$%&'*+-.^_`|~09azAZ:", true}, {"A:\t\xc3\xa4 : \"b\"  ", true}, {"Content-Length: 5", true},
	{"Content-Length : 5", false}, {" A: b", false}, {"\tA: b", false}, {": b", false}, {"A", false}, {"A B: c", false},
	{"A\x00: b", false}, {"A: \x00", false}, {"A: b\rC: d", false}, {"\xe4: b", false}, {"A: \x7f", false},
}

// drawHead draws interim heads and a final one, and whether all are valid.
func drawHead(t *rapid.T) (text string, valid bool) {
	valid = true
	for {
		line := rapid.SampledFrom(statusLines).Draw(t, "status line")
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
		text += line.text + end
		valid = valid && line.valid
		for _, field := range rapid.SliceOfN(rapid.SampledFrom(fieldLines), 0, 4).Draw(t, "fields") {
			text += field.text + end
			valid = valid && field.valid
		}
		text += end
		if !line.interim {
			return text, valid
		}
	}
}

// read reads a head and what follows it, as it is read in pieces of a size, of which the first was
// buffered before.
func read(text string, size, limit int) (string, error) {
	buffered := text[:min(size, len(text))]
	r := NewReader(&pieces{text: text[len(buffered):], size: size})
	if err := r.Begin([]byte(buffered), limit); err != nil {
		return "", err
	}
	rest, err := io.ReadAll(r)
	return buffered + string(rest), err
}

// pieces is a reader that returns pieces of a size.
type pieces struct {
	text string
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

// TestHeads guards against a fault that is not found since the head came in other pieces, against a
// valid head that is refused, and against bytes of the body that are taken for a head.
func TestHeads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, valid := drawHead(t)
		text += rapid.SampledFrom([]string{"", "body", "\r\n\r\n", "HTTP/1.1 000 X\r\nno head\r\n"}).Draw(t, "body")
		got, err := read(text, rapid.IntRange(1, len(text)+1).Draw(t, "piece"), 0)
		if valid {
			require.NoError(t, err)
			require.Equal(t, text, got)
			return
		}
		require.True(t, errorx.IsOfType(err, ErrMalformed), "%v", err)
	})
}

// TestLimit guards against a head that is kept without a bound, and against a limit that counts the
// body.
func TestLimit(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	_, err := read(head+strings.Repeat("x", 100), 10, len(head))
	require.NoError(t, err)
	for _, endless := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: "} {
		_, err = read(endless+strings.Repeat("x", 1000), 10, 100)
		require.True(t, errorx.IsOfType(err, ErrTooLarge), "%v", err)
	}
}

// TestSourceError guards against an error of the connection that is lost.
func TestSourceError(t *testing.T) {
	cause := errors.New("reset")
	r := NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), iotest.ErrReader(cause)))
	require.NoError(t, r.Begin(nil, 100))
	_, err := http.ReadResponse(bufio.NewReader(r), nil)
	require.ErrorIs(t, err, cause)
}
