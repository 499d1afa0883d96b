package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
)

// object is one object of the store, as PROTOCOL.md describes it.
type object struct {
	Metadata struct {
		Name           string `json:"name"`
		Rev            uint64 `json:"rev"`
		CreateRevision uint64 `json:"createRevision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// store is the platform's metadata store: objects by kind and name, one revision counter.
type store struct {
	mu    sync.Mutex
	rev   uint64
	kinds map[string]map[string]*object
}

func newStore() *store { return &store{rev: 1, kinds: map[string]map[string]*object{}} }

// put creates an object or replaces its spec, as the operator and the servers do.
func (s *store) put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, spec)
}

func (s *store) set(kind, name string, spec json.RawMessage) *object {
	s.rev++
	objects := s.kinds[kind]
	if objects == nil {
		objects = map[string]*object{}
		s.kinds[kind] = objects
	}
	o := &object{Spec: spec}
	o.Metadata.Name, o.Metadata.Rev, o.Metadata.CreateRevision = name, s.rev, s.rev
	if before := objects[name]; before != nil {
		o.Metadata.CreateRevision = before.Metadata.CreateRevision
	}
	objects[name] = o
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.kinds[kind], name)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, names.Objects), "/")
	name = strings.TrimSuffix(name, "/status")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.kinds[kind][name]
	switch r.Method {
	case http.MethodGet:
		if name != "" {
			answer(w, present != nil, http.StatusOK, present)
			return
		}
		s.list(w, r, kind)
	case http.MethodPost:
		var o object
		if json.Unmarshal(body, &o) != nil || o.Metadata.Name == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if before := s.kinds[kind][o.Metadata.Name]; before != nil {
			answer(w, true, http.StatusConflict, before)
			return
		}
		answer(w, true, http.StatusOK, s.set(kind, o.Metadata.Name, o.Spec))
	case http.MethodPut:
		var o object
		if json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		switch {
		case present == nil:
			w.WriteHeader(http.StatusNotFound)
		case o.Metadata.Rev != 0 && o.Metadata.Rev != present.Metadata.Rev:
			answer(w, true, http.StatusConflict, present)
		case string(o.Spec) == string(present.Spec):
			answer(w, true, http.StatusOK, present)
		default:
			answer(w, true, http.StatusOK, s.set(kind, name, o.Spec))
		}
	case http.MethodDelete:
		if present == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.rev++
		delete(s.kinds[kind], name)
		answer(w, true, http.StatusOK, present)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// pageItems is the number of objects in one page of a list.
const pageItems = 50

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	page := struct {
		Items      []*object `json:"items"`
		Truncated  bool      `json:"truncated"`
		CurrentRev uint64    `json:"currentRev"`
	}{Items: []*object{}, CurrentRev: s.rev}
	after := r.URL.Query().Get("after")
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if len(page.Items) == pageItems {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, s.kinds[kind][name])
	}
	answer(w, true, http.StatusOK, page)
}

func answer(w http.ResponseWriter, exists bool, status int, value any) {
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
