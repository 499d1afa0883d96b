package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/citrongate/citrongate/internal/adminwire"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Admin calls the administration API of the first reachable one of several
// instances.
type Admin struct {
	// Addresses are tried in order until one accepts a connection.
	Addresses []string
	Token     string
	HTTP      *http.Client
}

// ObjectList holds the objects of the configuration at one revision.
type ObjectList struct {
	Revision uint64
	Objects  []*pb.Object
}

// Name identifies an object to delete. If Version is not 0, the object is deleted
// only if it has this version.
type Name struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version,omitempty"`
}

// Change is a set of objects that are written and deleted as one change.
type Change struct {
	Objects []*pb.Object
	Deletes []Name
	// Conditional requires that each object still has the version that the change
	// states for it.
	Conditional bool
}

// changeBody is the body of a request to apply a change.
type changeBody struct {
	Objects     []json.RawMessage `json:"objects"`
	Deletes     []Name            `json:"deletes,omitempty"`
	Conditional bool              `json:"conditional,omitempty"`
}

// Get returns one object.
func (a *Admin) Get(ctx context.Context, kind, name string) (*pb.Object, error) {
	body, err := a.call(ctx, http.MethodGet, objectPath(kind, name), nil, nil)
	if err != nil {
		return nil, err
	}
	return decodeObject(body)
}

// List returns all objects, or those of one kind if kind is not empty.
func (a *Admin) List(ctx context.Context, kind string) (*ObjectList, error) {
	body, err := a.call(ctx, http.MethodGet, "/admin/v1/objects?kind="+url.QueryEscape(kind), nil, nil)
	if err != nil {
		return nil, err
	}
	var answer struct {
		Revision json.Number       `json:"revision"`
		Objects  []json.RawMessage `json:"objects"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, Failed.Wrap(err, "the list of objects cannot be read")
	}
	list := &ObjectList{Revision: parseRevision(answer.Revision)}
	for _, raw := range answer.Objects {
		object, err := decodeObject(raw)
		if err != nil {
			return nil, err
		}
		list.Objects = append(list.Objects, object)
	}
	return list, nil
}

// Delete deletes one object, if it still has the version in name, and returns the
// new revision. Version 0 deletes it in any version.
func (a *Admin) Delete(ctx context.Context, name Name) (uint64, error) {
	header := http.Header{}
	if name.Version != 0 {
		header.Set("If-Match", `"`+strconv.FormatUint(name.Version, 10)+`"`)
	}
	return a.change(ctx, http.MethodDelete, objectPath(name.Kind, name.Name), nil, header)
}

// Apply writes and deletes objects as one change and returns the new revision. A
// dry run only validates the change and returns 0.
func (a *Admin) Apply(ctx context.Context, change Change, dryRun bool) (uint64, error) {
	body := changeBody{Objects: []json.RawMessage{}, Deletes: change.Deletes, Conditional: change.Conditional}
	for _, object := range change.Objects {
		raw, err := protojson.Marshal(object)
		if err != nil {
			return 0, Failed.Wrap(err, "an object cannot be written as JSON")
		}
		body.Objects = append(body.Objects, raw)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, Failed.Wrap(err, "the change cannot be written as JSON")
	}
	path := "/admin/v1/apply"
	if dryRun {
		path += "?dry_run=true"
	}
	return a.change(ctx, http.MethodPost, path, encoded, nil)
}

func (a *Admin) change(ctx context.Context, method, path string, body []byte, header http.Header) (uint64, error) {
	answer, err := a.call(ctx, method, path, body, header)
	if err != nil {
		return 0, err
	}
	var result struct {
		Revision json.Number `json:"revision"`
	}
	if err := json.Unmarshal(answer, &result); err != nil {
		return 0, Failed.Wrap(err, "the answer to the change cannot be read; look at citrongate status before trying again")
	}
	return parseRevision(result.Revision), nil
}

// Status returns the status of one instance, decoded and as received.
func (a *Admin) Status(ctx context.Context) (*adminwire.Status, []byte, error) {
	body, err := a.call(ctx, http.MethodGet, "/admin/v1/status", nil, nil)
	if err != nil {
		return nil, nil, err
	}
	status := &adminwire.Status{}
	if err := json.Unmarshal(body, status); err != nil {
		return nil, body, Failed.Wrap(err, "the status cannot be read")
	}
	return status, body, nil
}

// Explain returns where a request with the kind, organisation, model and labels in
// query would be routed, decoded and as received.
func (a *Admin) Explain(ctx context.Context, query url.Values) (*adminwire.Explanation, []byte, error) {
	body, err := a.call(ctx, http.MethodGet, "/admin/v1/explain?"+query.Encode(), nil, nil)
	if err != nil {
		return nil, nil, err
	}
	explanation := &adminwire.Explanation{}
	if err := json.Unmarshal(body, explanation); err != nil {
		return nil, body, Failed.Wrap(err, "the explanation cannot be read")
	}
	return explanation, body, nil
}

// Order sends an order to an upstream and returns when the upstream has carried it
// out.
func (a *Admin) Order(ctx context.Context, upstream, verb, argument string) error {
	body, err := json.Marshal(adminwire.Order{Upstream: upstream, Verb: verb, Argument: argument})
	if err != nil {
		return err
	}
	_, err = a.call(ctx, http.MethodPost, "/admin/v1/orders", body, nil)
	return err
}

// Drain starts a planned stop of the instance and does not wait for its end.
func (a *Admin) Drain(ctx context.Context) error {
	_, err := a.call(ctx, http.MethodPost, "/admin/v1/drain", nil, nil)
	return err
}

// Gone reports whether the error of a call shows that no process listens at the
// addresses any more. A time-out or a broken answer does not show that.
func Gone(err error) bool {
	if wrapped := errorx.Cast(err); wrapped != nil {
		err = wrapped.Cause()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// call sends the request to the first address that accepts a connection. Once the
// request was sent, it is not sent to another address, since it may have taken
// effect.
func (a *Admin) call(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, error) {
	var lastErr error
	for _, address := range a.Addresses {
		response, err := a.send(ctx, method, baseURL(address)+path, body, header)
		if err == nil {
			return readAdminAnswer(response)
		}
		lastErr = err
		if !notSent(err) {
			break
		}
	}
	if lastErr != nil && !notSent(lastErr) && method != http.MethodGet {
		return nil, NotReached.Wrap(lastErr, "the request was sent but not answered, so it may have taken effect; remedy: look at citrongate status before trying again")
	}
	return nil, NotReached.Wrap(lastErr, "no administration address answered (%s); remedy: name a running instance with --admin", strings.Join(a.Addresses, ", "))
}

func (a *Admin) send(ctx context.Context, method, target string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot send the request a second time on its own.
	request.GetBody = nil
	for key, values := range header {
		request.Header[key] = values
	}
	request.Header.Set("Content-Type", "application/json")
	if a.Token != "" {
		request.Header.Set("Authorization", "Bearer "+a.Token)
	}
	return a.HTTP.Do(request)
}

func readAdminAnswer(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	body, err := readAnswer(response)
	if err != nil {
		return nil, NotReached.Wrap(err, "the answer is not complete")
	}
	if response.StatusCode < 300 {
		return body, nil
	}
	var answer struct {
		Error AdminError `json:"error"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.Error.Code == "" {
		answer.Error = AdminError{Code: response.Status, Reason: strings.TrimSpace(string(body))}
	}
	if response.StatusCode == http.StatusPreconditionFailed || response.StatusCode == http.StatusConflict {
		return nil, Conflict.New("%s", answer.Error)
	}
	return nil, Failed.New("%s", answer.Error)
}

func objectPath(kind, name string) string {
	return "/admin/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func decodeObject(raw []byte) (*pb.Object, error) {
	object := &pb.Object{}
	if err := protojson.Unmarshal(raw, object); err != nil {
		return nil, Failed.Wrap(err, "an object in the answer cannot be read")
	}
	return object, nil
}

func parseRevision(n json.Number) uint64 {
	value, _ := strconv.ParseUint(n.String(), 10, 64)
	return value
}

// baseURL returns address as a URL, with the scheme http if it has none.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}
