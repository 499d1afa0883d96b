package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/citrongate/citrongate/internal/httpconn"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// ServiceCallRequest is a call to a plain service.
type ServiceCallRequest struct {
	Address string
	// Name is the request kind; it becomes the last part of the path.
	Name string
	// ID is unique across all instances; the service echoes it.
	ID             string
	IdempotencyKey string
	Body           []byte
	ContentType    string
}

var errNoEndMarker = errors.New("the answer has no length and is not chunked, so a truncated answer can not be recognised")

// ServiceCall sends a call to a plain service. The outcome is set only if the result
// is Complete.
func (c *Client) ServiceCall(ctx context.Context, req ServiceCallRequest) (Result, *pb.BindingOutcome) {
	tracked, guard := httpconn.Track(ctx)
	post, err := newPost(tracked, req.Address, "/call/"+url.PathEscape(req.Name), req.Body)
	if err != nil {
		return Result{Status: NotSent, Detail: err.Error()}, nil
	}
	post.Header.Set("X-Request-Id", req.ID)
	if req.IdempotencyKey != "" {
		post.Header.Set("Idempotency-Key", req.IdempotencyKey)
	}
	if req.ContentType != "" {
		post.Header.Set("Content-Type", req.ContentType)
	}
	resp, err := c.requests.RoundTrip(post)
	if err != nil {
		return failureResult(ctx, guard.Seal(), err), nil
	}
	defer resp.Body.Close()
	if resp.Header.Get("X-Request-Id") != req.ID {
		return mismatchResult(resp), nil
	}
	body, err := c.readAnswer(resp)
	if err != nil {
		return failureResult(ctx, true, err), nil
	}
	return Result{Status: Complete}, &pb.BindingOutcome{
		HttpStatus:  uint32(resp.StatusCode),
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
}

// mismatchResult classifies an answer that does not carry the request's id. An
// answer without any id is not from the called service, so it is not known whether
// the request ran.
func mismatchResult(resp *http.Response) Result {
	id := resp.Header.Get("X-Request-Id")
	status := Mismatched
	if id == "" {
		status = Broken
	}
	return Result{Status: status, Detail: fmt.Sprintf("status %d, X-Request-Id %.64q", resp.StatusCode, id)}
}

// readAnswer reads a body that has a length or is chunked, so that truncation is
// detected.
func (c *Client) readAnswer(resp *http.Response) ([]byte, error) {
	chunked := len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
	if resp.ContentLength < 0 && !chunked {
		return nil, errNoEndMarker
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxAnswer {
		return nil, fmt.Errorf("the answer is longer than %d bytes", c.maxAnswer)
	}
	return body, nil
}
