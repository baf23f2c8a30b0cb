//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items of a page of a list at most.
const pageItems = 500

type meta struct {
	Name              string   `json:"name"`
	Revision          uint64   `json:"revision"`
	Created           uint64   `json:"created"`
	Finalizers        []string `json:"finalizers"`
	DeletionRequested bool     `json:"deletionRequested"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// store is the platform's metadata store, as far as hosts read it.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		revision: 500, changed: make(chan struct{}),
		objects: map[string]map[string]object{"config": {}, "servers": {}},
	}
}

// put writes an object. One that stays the same keeps its revision.
func (s *store) put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, found := s.objects[kind][name]
	if found && bytes.Equal(old.Spec, data) {
		return nil
	}
	s.revision++
	created := s.revision
	if found {
		created = old.Meta.Created
	}
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: data, Status: json.RawMessage("null")}
	s.objects[kind][name] = o
	s.note(change{kind: kind, revision: s.revision, Object: o})
	return nil
}

// spec returns the content of an object; nil if there is none.
func (s *store) spec(kind, name string) json.RawMessage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.objects[kind][name].Spec
}

// next returns a channel that is closed with the next change.
func (s *store) next() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the lists and watches of hosts.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	s.mutex.Lock()
	known := s.objects[kind] != nil
	s.mutex.Unlock()
	switch {
	case !found || !known || r.Method != http.MethodGet:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := names[:min(len(names), pageItems)]
	items := make([]object, 0, len(page))
	for _, name := range page {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mutex.Unlock()
	answer(w, map[string]any{"items": items, "hasMore": len(names) > len(page), "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ended := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mutex.Lock()
		events, revision, changed := []change{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.revision > since {
				events = append(events, c)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 || over {
			answer(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-ended:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that went away gets no answer.
	_, _ = w.Write(data)
}
