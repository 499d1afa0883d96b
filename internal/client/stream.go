package client

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// maxEventBytes is the maximum length of one line of a stream.
const maxEventBytes = 1 << 20

// streamChunk holds the fields of a completion chunk that the client uses.
type streamChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *Refusal `json:"error"`
}

// readStream reads a streamed answer. It is complete only if each chunk has the id
// of the request and the end marker arrived.
func (c *call) readStream(response *http.Response, attempt *Attempt) {
	var text strings.Builder
	tokens, identified := 0, false
	attempt.Ending, attempt.Err = Incomplete, "the stream ended without its end marker"
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxEventBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			if !identified {
				attempt.Err = "no chunk with the id of the request arrived before the end marker"
				return
			}
			c.result.Text, c.result.Tokens, c.result.Complete = text.String(), tokens, true
			attempt.Ending, attempt.Err = Complete, ""
			return
		}
		var chunk streamChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			attempt.Err = "a chunk cannot be read: " + err.Error()
			return
		}
		if chunk.Error != nil {
			attempt.Ending, attempt.Refusal, attempt.Err = Refused, *chunk.Error, ""
			return
		}
		if chunk.ID != attempt.RequestID {
			attempt.Err = "a chunk has the id of another request"
			return
		}
		identified = true
		if piece := chunkText(chunk); piece != "" {
			if tokens == 0 {
				c.result.FirstToken = time.Since(c.start)
			}
			tokens++
			text.WriteString(piece)
			if c.request.OnText != nil {
				c.request.OnText(piece)
			}
		}
	}
	if err := lines.Err(); err != nil {
		attempt.Err = err.Error()
	}
}

// chunkText returns the text of a chunk, or "" if it has none.
func chunkText(chunk streamChunk) string {
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}
