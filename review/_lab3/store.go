package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Drill is a store as the users' pages tell it, which can be away for a moment and come back from
// a copy. It serves no watches, which the system does not use.
type Drill struct {
	mu      sync.Mutex
	era     int
	away    bool
	rev     uint64
	objects map[string]stored
}

type stored struct {
	Metadata struct {
		Name           string   `json:"name"`
		Rev            uint64   `json:"rev"`
		CreateRevision uint64   `json:"createRevision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Copy is a copy of a store.
type Copy struct {
	rev     uint64
	objects map[string]stored
}

// NewDrill returns an empty store.
func NewDrill() *Drill { return &Drill{era: 1, rev: 1, objects: map[string]stored{}} }

// Copy copies all objects.
func (d *Drill) Copy() Copy {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := Copy{rev: d.rev, objects: map[string]stored{}}
	for key, o := range d.objects {
		c.objects[key] = o
	}
	return c
}

// Leave makes the store refuse all calls until Return.
func (d *Drill) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = true
}

// Return makes the store serve again, from a copy.
func (d *Drill) Return(c Copy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away, d.rev, d.objects = false, c.rev, c.objects
	d.era++
}

// Put creates or replaces the spec of an object, as the operator and the servers do.
func (d *Drill) Put(kind, name string, spec any) error {
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(kind+"/"+name, name, text)
	return nil
}

// Remove deletes an object.
func (d *Drill) Remove(kind, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	delete(d.objects, kind+"/"+name)
}

func (d *Drill) put(key, name string, spec json.RawMessage) stored {
	o, known := d.objects[key]
	if known && string(o.Spec) == string(spec) {
		return o
	}
	d.rev++
	o.Metadata.Name, o.Metadata.Rev, o.Spec = name, d.rev, spec
	if !known {
		o.Metadata.CreateRevision = d.rev
	}
	d.objects[key] = o
	return o
}

// ServeHTTP implements http.Handler.
func (d *Drill) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(d.era))
	if d.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	key := strings.TrimPrefix(r.URL.Path, names.Objects)
	kind, name, single := strings.Cut(key, "/")
	var sent stored
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := false
	if single {
		name, status = strings.CutSuffix(name, "/status")
	}
	found, known := d.objects[kind+"/"+name]
	conflict := known && sent.Metadata.Rev != 0 && sent.Metadata.Rev != found.Metadata.Rev
	switch {
	case r.Method == http.MethodGet && !single:
		d.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		name = sent.Metadata.Name
		if existing, exists := d.objects[kind+"/"+name]; exists {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(existing)
			return
		}
		_ = json.NewEncoder(w).Encode(d.put(kind+"/"+name, name, sent.Spec))
	case !known:
		w.WriteHeader(http.StatusNotFound)
	case conflict:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(found)
	case r.Method == http.MethodGet:
		_ = json.NewEncoder(w).Encode(found)
	case r.Method == http.MethodPut && status:
		d.rev++
		found.Metadata.Rev, found.Status = d.rev, sent.Status
		d.objects[kind+"/"+name] = found
		_ = json.NewEncoder(w).Encode(found)
	case r.Method == http.MethodPut:
		_ = json.NewEncoder(w).Encode(d.put(kind+"/"+name, name, sent.Spec))
	case r.Method == http.MethodDelete:
		d.rev++
		delete(d.objects, kind+"/"+name)
	}
}

func (d *Drill) list(w http.ResponseWriter, kind, after string) {
	items := []stored{}
	for key, o := range d.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b stored) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "currentRev": d.rev})
}
