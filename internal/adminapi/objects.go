package adminapi

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/routing"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// findObject returns an object of the configuration in force, or nil.
func (a *API) findObject(kind, name string) *pb.Object {
	if set := a.backend.Set(); set != nil {
		return set.Get(kind, name)
	}
	return nil
}

func (a *API) listObjects(w http.ResponseWriter, r *http.Request, _ operator) *apiError {
	kind := r.URL.Query().Get("kind")
	if kind != "" && !slices.Contains(configstate.Kinds, kind) {
		return invalid("there is no kind "+strconv.Quote(kind), "use one of "+strings.Join(configstate.Kinds, ", "))
	}
	answer := struct {
		Revision uint64            `json:"revision"`
		Objects  []json.RawMessage `json:"objects"`
	}{Objects: []json.RawMessage{}}
	set := a.backend.Set()
	if set == nil {
		writeJSON(w, http.StatusOK, answer)
		return nil
	}
	answer.Revision = set.Revision
	for _, object := range set.Objects() {
		if kind != "" && object.GetMeta().GetKind() != kind {
			continue
		}
		text, err := encodeObject(object)
		if err != nil {
			return invalid(err.Error(), "report this")
		}
		answer.Objects = append(answer.Objects, text)
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

func (a *API) getObject(w http.ResponseWriter, r *http.Request, _ operator) *apiError {
	object := a.findObject(r.PathValue("kind"), r.PathValue("name"))
	if object == nil {
		return notFound(r)
	}
	text, err := encodeObject(object)
	if err != nil {
		return invalid(err.Error(), "report this")
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(object.GetMeta().GetVersion(), 10)))
	writeBytes(w, http.StatusOK, "application/json", text)
	return nil
}

func notFound(r *http.Request) *apiError {
	return &apiError{status: http.StatusNotFound, Code: "not_found",
		Reason: "there is no " + r.PathValue("kind") + " named " + strconv.Quote(r.PathValue("name")),
		Remedy: "list the objects of this kind"}
}

// parseCondition parses If-Match and If-None-Match. conditional is false if neither is
// set; version 0 means that the object must not exist.
func parseCondition(header http.Header) (version uint64, conditional bool, problem *apiError) {
	match, none := header.Get("If-Match"), header.Get("If-None-Match")
	switch {
	case match != "" && none != "":
		return 0, false, invalid("both If-Match and If-None-Match are set", "send one of them")
	case none == "*":
		return 0, true, nil
	case none != "":
		return 0, false, invalid("If-None-Match is not *", "send If-None-Match: * for an object that must not exist")
	case match == "":
		return 0, false, nil
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, false, invalid("If-Match is not a version", "send the version from the object's ETag")
	}
	return version, true, nil
}

func (a *API) putObject(w http.ResponseWriter, r *http.Request, op operator) *apiError {
	version, conditional, problem := parseCondition(r.Header)
	if problem != nil {
		return problem
	}
	body, problem := readBody(r)
	if problem != nil {
		return problem
	}
	object := &pb.Object{}
	if err := protojson.Unmarshal(body, object); err != nil {
		return invalid("the body is not an object: "+err.Error(), "send the JSON of one object")
	}
	if object.Meta == nil {
		object.Meta = &pb.ObjectMeta{}
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if object.Meta.Kind != "" && object.Meta.Kind != kind || object.Meta.Name != "" && object.Meta.Name != name {
		return invalid("meta.kind or meta.name differs from the path", "make meta.kind and meta.name equal to the path or leave them out")
	}
	object.Meta.Kind, object.Meta.Name, object.Meta.Version = kind, name, version
	return a.change(w, r, op, Change{Puts: []*pb.Object{object}, Conditional: conditional})
}

func (a *API) deleteObject(w http.ResponseWriter, r *http.Request, op operator) *apiError {
	version, conditional, problem := parseCondition(r.Header)
	if problem != nil {
		return problem
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	object := a.findObject(kind, name)
	if object == nil {
		return notFound(r)
	}
	if !conditional {
		version = object.GetMeta().GetVersion()
	}
	meta := &pb.ObjectMeta{Kind: kind, Name: name, Version: version}
	return a.change(w, r, op, Change{Deletes: []*pb.ObjectMeta{meta}, Conditional: true})
}

// applyBody is the body of POST /admin/v1/apply: a file of objects.
type applyBody struct {
	Objects []json.RawMessage `json:"objects"`
	Deletes []struct {
		Kind    string `json:"kind"`
		Name    string `json:"name"`
		Version uint64 `json:"version"`
	} `json:"deletes"`
	Conditional bool `json:"conditional"`
}

func (a *API) apply(w http.ResponseWriter, r *http.Request, op operator) *apiError {
	body, problem := readBody(r)
	if problem != nil {
		return problem
	}
	var file applyBody
	if err := json.Unmarshal(body, &file); err != nil {
		return invalid("the body is not a file of objects: "+err.Error(), `send {"objects": [...], "deletes": [...]}`)
	}
	change := Change{Conditional: file.Conditional}
	var problems []string
	for i, text := range file.Objects {
		object := &pb.Object{}
		if err := protojson.Unmarshal(text, object); err != nil {
			problems = append(problems, "object "+strconv.Itoa(i+1)+": "+err.Error())
			continue
		}
		change.Puts = append(change.Puts, object)
	}
	for _, d := range file.Deletes {
		change.Deletes = append(change.Deletes, &pb.ObjectMeta{Kind: d.Kind, Name: d.Name, Version: d.Version})
	}
	if len(problems) > 0 {
		failed := invalid("some objects can not be read", "correct the objects; nothing was changed")
		failed.Problems = problems
		return failed
	}
	switch r.URL.Query().Get("dry_run") {
	case "", "false":
	case "true":
		change.DryRun = true
	default:
		return invalid("dry_run is neither true nor false", "send dry_run=true or leave it out")
	}
	return a.change(w, r, op, change)
}

// change checks the operator's rights, applies the change and writes the result. A
// dry run changes nothing and is open to all operators.
func (a *API) change(w http.ResponseWriter, r *http.Request, op operator, change Change) *apiError {
	if !change.DryRun {
		if problem := a.checkRights(op, &change); problem != nil {
			return problem
		}
	}
	result, ok := a.backend.Apply(r.Context(), change)
	if !ok {
		return errNoReply
	}
	a.log.Info().Str("operator", op.name).Int("puts", len(change.Puts)).Int("deletes", len(change.Deletes)).
		Bool("dry_run", change.DryRun).Uint64("revision", result.Revision).Str("reason", result.Code).Msg("configuration change")
	if result.Code != "" {
		return changeErrorOf(result)
	}
	writeJSON(w, http.StatusOK, struct {
		Revision uint64 `json:"revision"`
	}{result.Revision})
	return nil
}

// checkRights returns an error if the operator may not make the change. It makes an
// unconditional change by an operator of a team conditional on the versions that
// it checked, so that an object that has been moved to another team meanwhile is
// not overwritten.
func (a *API) checkRights(op operator, change *Change) *apiError {
	if len(change.Puts)+len(change.Deletes) == 0 {
		return op.mayChange(nil, nil)
	}
	pinVersions := op.team != "" && !change.Conditional
	for _, object := range change.Puts {
		before := a.findObject(object.GetMeta().GetKind(), object.GetMeta().GetName())
		if problem := op.mayChange(before, object); problem != nil {
			return problem
		}
		if pinVersions {
			object.Meta.Version = before.GetMeta().GetVersion()
		}
	}
	for _, meta := range change.Deletes {
		before := a.findObject(meta.GetKind(), meta.GetName())
		if problem := op.mayChange(before, nil); problem != nil {
			return problem
		}
		if pinVersions {
			meta.Version = before.GetMeta().GetVersion()
		}
	}
	change.Conditional = change.Conditional || pinVersions
	return nil
}

// changeErrors maps the code of a failed change to the error response.
var changeErrors = map[string]apiError{
	"conflict":          {status: http.StatusPreconditionFailed, Reason: "an object has another version than named", Remedy: "read the objects again and repeat the change on their present versions"},
	"invalid":           {status: http.StatusBadRequest, Reason: "the configuration with this change is not valid", Remedy: "correct what problems lists; nothing was changed"},
	"store_unavailable": {status: http.StatusServiceUnavailable, Reason: "the object API does not answer; nothing was changed", Remedy: "repeat the change later"},
	"outcome_unknown":   {status: http.StatusServiceUnavailable, Reason: "the object API's answer was lost; the change may take effect", Remedy: "read the objects back before repeating the change"},
}

// changeErrorOf returns the error response of a change that was not accepted.
func changeErrorOf(result ChangeResult) *apiError {
	problem, ok := changeErrors[result.Code]
	if !ok {
		problem = apiError{status: http.StatusInternalServerError, Reason: "the change failed", Remedy: "read the objects back before repeating the change"}
	}
	problem.Code, problem.Problems = result.Code, result.Problems
	return &problem
}

func (a *API) status(w http.ResponseWriter, r *http.Request, _ operator) *apiError {
	status, ok := a.backend.Status(r.Context())
	if !ok {
		return errNoReply
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

func (a *API) explain(w http.ResponseWriter, r *http.Request, _ operator) *apiError {
	query := r.URL.Query()
	labels, err := parseLabels(query.Get("labels"))
	if err != nil {
		return err
	}
	explanation, ok := a.backend.Explain(r.Context(), routing.Request{
		Kind: query.Get("kind"), Organisation: query.Get("organisation"), Model: query.Get("model"), Labels: labels,
	})
	if !ok {
		return errNoReply
	}
	writeJSON(w, http.StatusOK, explanation)
	return nil
}

// parseLabels parses the labels parameter of an explain request.
func parseLabels(text string) (map[string]string, *apiError) {
	if text == "" {
		return nil, nil
	}
	labels := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok || key == "" {
			return nil, invalid("labels are not k=v pairs", "send labels=k=v,k=v")
		}
		labels[key] = value
	}
	return labels, nil
}

func (a *API) drain(w http.ResponseWriter, _ *http.Request, op operator) *apiError {
	if op.readOnly || op.team != "" {
		return forbidden("operator "+op.name+" may not stop instances", "use the token of an operator without read_only and team")
	}
	a.backend.Drain()
	writeJSON(w, http.StatusAccepted, struct{}{})
	return nil
}

func readBody(r *http.Request) ([]byte, *apiError) {
	if r.Body == nil {
		return nil, invalid("the body is missing", "send JSON")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil || len(body) > MaxBodyBytes {
		return nil, invalid("the body can not be read or is too large", "send at most 16 MiB")
	}
	return body, nil
}
