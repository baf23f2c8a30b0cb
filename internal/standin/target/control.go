package target

import (
	"encoding/json"
	"net/http"
)

// controlHandler serves the records (GET /records, one JSON object a line) and
// the behaviour (GET and PUT /behaviour).
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/x-ndjson")
		encoder := json.NewEncoder(w)
		for _, r := range s.Records() {
			if err := encoder.Encode(r); err != nil {
				return
			}
		}
	})
	mux.HandleFunc("GET /behaviour", func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		b := s.behaviour
		s.mutex.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(b)
	})
	mux.HandleFunc("PUT /behaviour", func(w http.ResponseWriter, r *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		decoder.DisallowUnknownFields()
		var b Behaviour
		err := decoder.Decode(&b)
		if err == nil {
			err = s.SetBehaviour(b)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}
