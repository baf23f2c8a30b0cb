package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"oriolevalve/internal/platform"
)

// Handler returns the HTTP API of the store:
//
//	GET, PUT, DELETE /objects/KEY    If-None-Match: * creates, If-Match: "V" updates
//	GET /watch/KEY?version=V         lines of platform.WatchLine
//	GET /hosts                       the lagging host list
//	GET, PUT /control/switches       Switches
//	POST /control/silence_watches
//	GET /control/calls               calls received, by kind
//	PUT, DELETE /control/hosts/ID    platform.Host
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key...}", s.serveGet)
	mux.HandleFunc("PUT /objects/{key...}", s.servePut)
	mux.HandleFunc("DELETE /objects/{key...}", s.serveDelete)
	mux.HandleFunc("GET /watch/{key...}", s.serveWatch)
	mux.HandleFunc("GET /hosts", s.serveHosts)
	mux.HandleFunc("GET /control/switches", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Switches()) })
	mux.HandleFunc("PUT /control/switches", s.serveSetSwitches)
	mux.HandleFunc("POST /control/silence_watches", func(http.ResponseWriter, *http.Request) { s.SilenceWatches() })
	mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.calls.Counts()) })
	mux.HandleFunc("PUT /control/hosts/{id}", s.serveSetHost)
	mux.HandleFunc("DELETE /control/hosts/{id}", func(_ http.ResponseWriter, r *http.Request) { s.RemoveHost(r.PathValue("id")) })
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	object, err := s.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", platform.EntityTag(object.Version))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(object.Value)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		return
	}
	key := r.PathValue("key")
	var version uint64
	switch condition := r.Header.Get("If-Match"); {
	case r.Header.Get("If-None-Match") == "*" && condition == "":
		version, err = s.Create(r.Context(), key, value)
	case condition != "":
		base, tagErr := platform.ParseEntityTag(condition)
		if tagErr != nil {
			http.Error(w, tagErr.Error(), http.StatusBadRequest)
			return
		}
		version, err = s.UpdateIfVersion(r.Context(), key, base, value)
	default:
		http.Error(w, "a condition is required: If-Match or If-None-Match", http.StatusPreconditionRequired)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", platform.EntityTag(version))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := s.Delete(r.Context(), r.PathValue("key")); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveHosts(w http.ResponseWriter, r *http.Request) {
	list, err := s.HostList(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, list)
}

// serveWatch sends a heartbeat line every HeartbeatInterval and one line when
// the object's version differs.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.admit(r.Context(), platform.CallWatch, r.PathValue("key")); err != nil {
		writeError(w, err)
		return
	}
	opened := s.openWatch()
	defer opened.close()
	control := http.NewResponseController(w)
	send := func(kind string) error {
		if err := json.NewEncoder(w).Encode(platform.WatchLine{Type: kind}); err != nil {
			return err
		}
		return control.Flush()
	}
	heartbeat := s.clock.After(0)
	for {
		_, state, changed := opened.look(r.PathValue("key"), version)
		switch state {
		case watchChanged:
			_ = send(platform.WatchChanged)
			return
		case watchEnded:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-heartbeat:
			if state == watchWaiting {
				if err := send(platform.WatchHeartbeat); err != nil {
					return
				}
			}
			heartbeat = s.clock.After(platform.HeartbeatInterval)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveSetSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if readJSON(w, r, &switches) {
		s.SetSwitches(switches)
	}
}

func (s *Store) serveSetHost(w http.ResponseWriter, r *http.Request) {
	var host platform.Host
	if readJSON(w, r, &host) {
		host.ID = r.PathValue("id")
		s.SetHost(host)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, content any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(content); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, content any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content)
}

// writeError sends the status of a failure. A lost answer ends the connection
// without one.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch platform.KindOf(err) {
	case platform.KindAnswerLost:
		panic(http.ErrAbortHandler)
	case platform.KindNotSent:
		status = http.StatusServiceUnavailable
	case platform.KindNotFound:
		status = http.StatusNotFound
	case platform.KindConflict:
		status = http.StatusPreconditionFailed
	case platform.KindRefused:
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}
