package platform

import (
	"bytes"
	"io"
	"net/http"
)

// The methods of this file let another protocol serve the same objects under
// the same faults and limits.

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

// ReadAll returns the objects whose keys begin with prefix, by key.
func (p *Platform) ReadAll(prefix string) []Object {
	var out []Object
	for _, line := range p.objects.list(prefix) {
		if o, ok := p.Read(line.Key); ok {
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

// Replace writes an object that exists, if it has the version; 0 means any. It
// returns the present version, 0 if the object does not exist.
func (p *Platform) Replace(key string, value []byte, version uint64) (present uint64, ok bool) {
	for {
		condition := version
		if found, exists := p.objects.get(key); exists && condition == 0 {
			condition = found.version
		}
		present, status := p.objects.update(key, value, condition)
		if status == conditionFailed && version == 0 {
			continue // changed since it was read
		}
		return present, status == written
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

// Guard applies outage, delay, rate limits and lost answers to another
// protocol's calls.
func (p *Platform) Guard(read, write http.HandlerFunc) http.Handler {
	guarded := p.guardWrite(func(w http.ResponseWriter, r *http.Request, body []byte) {
		write(w, withBody(r, body))
	})
	reads := p.guardRead(read)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			reads(w, r)
			return
		}
		guarded(w, r)
	})
}

// withBody returns the request with a body that was read already.
func withBody(r *http.Request, body []byte) *http.Request {
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}
