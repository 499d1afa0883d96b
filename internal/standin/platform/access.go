package platform

import (
	"bytes"
	"io"
	"net/http"
)

// The methods in this file let another protocol serve the same objects with the
// same injected faults and rate limits.

// Object is one object with its version.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// Read returns an object.
func (p *Platform) Read(key string) (Object, bool) {
	found, ok := p.objects.get(key)
	return Object{Key: key, Value: found.value, Version: found.version}, ok
}

// ReadAll returns the objects whose keys begin with prefix, sorted by key.
func (p *Platform) ReadAll(prefix string) []Object {
	var out []Object
	for _, listed := range p.objects.list(prefix) {
		if o, ok := p.Read(listed.Key); ok {
			out = append(out, o)
		}
	}
	return out
}

// Create writes an object that does not exist yet; ok is false if it does.
func (p *Platform) Create(key string, value []byte) (version uint64, ok bool) {
	version, status := p.objects.create(key, value)
	return version, status == written
}

// Replace writes an existing object if it has the given version; version 0 matches
// any. It returns the current version, or 0 if the object does not exist.
func (p *Platform) Replace(key string, value []byte, version uint64) (current uint64, ok bool) {
	for {
		condition := version
		if found, exists := p.objects.get(key); exists && condition == 0 {
			condition = found.version
		}
		current, status := p.objects.update(key, value, condition)
		if status == conditionFailed && version == 0 {
			continue // changed since it was read
		}
		return current, status == written
	}
}

// Delete removes an object whatever its version; ok is false if there is none.
func (p *Platform) Delete(key string) bool {
	for {
		found, exists := p.objects.get(key)
		if !exists {
			return false
		}
		if _, status := p.objects.remove(key, found.version); status != conditionFailed {
			return status == written
		}
	}
}

// WithFaults applies the injected outage, delay, rate limits and lost answers to the
// calls of another protocol.
func (p *Platform) WithFaults(read, write http.HandlerFunc) http.Handler {
	writes := p.withWriteFaults(func(w http.ResponseWriter, r *http.Request, body []byte) {
		write(w, withBody(r, body))
	})
	reads := p.withReadFaults(read)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			reads(w, r)
			return
		}
		writes(w, r)
	})
}

// withBody returns the request with a body that has already been read.
func withBody(r *http.Request, body []byte) *http.Request {
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}
