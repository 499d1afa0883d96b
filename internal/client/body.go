package client

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxAnswerBytes is the maximum size of an answer; a larger one is an error.
const maxAnswerBytes = 64 << 20

// errNoEndMarker is the error for an answer whose end can not be told from a
// connection that broke.
var errNoEndMarker = errors.New("the answer has neither a length nor chunks, so that it may be truncated")

// readAnswer reads the complete body of an answer.
func readAnswer(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errNoEndMarker
	}
	return readLimited(response.Body, maxAnswerBytes)
}

// readLimited reads everything up to limit bytes; more is an error.
func readLimited(source io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("the answer is larger than %d bytes", limit)
	}
	return body, nil
}
