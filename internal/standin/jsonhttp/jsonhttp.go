// Package jsonhttp writes the JSON responses of the stand-ins.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// Write responds with status 200 and the value as JSON.
func Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
