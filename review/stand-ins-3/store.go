package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historySpan is the time for which the store keeps its changes, pageItems the number of items of
// a page, heartbeat the interval of the targets' writes and lapse the silence after which an entry
// of a target is removed.
const (
	historySpan = 20 * time.Second
	pageItems   = 500
	heartbeat   = 1200 * time.Millisecond
	lapse       = 3 * heartbeat
)

type objectMeta struct {
	Name              string   `json:"name"`
	Revision          uint64   `json:"revision"`
	Created           uint64   `json:"created"`
	Finalizers        []string `json:"finalizers"`
	DeletionRequested bool     `json:"deletionRequested"`
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	at       time.Time
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// store is the platform's metadata store.
type store struct {
	address  string
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	dropped  uint64
	changed  chan struct{}
	written  map[string]time.Time
	// refusing holds the callers that get status 503.
	refusing map[string]bool
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), revision: 100, dropped: 100, objects: map[string]map[string]object{"config": {}, "servers": {}},
		changed: make(chan struct{}), written: map[string]time.Time{}, refusing: map[string]bool{},
	}
	go func() { _ = http.Serve(l, s) }()
	go s.expire()
	return s, nil
}

// put writes an object. A write that changes nothing has no revision of its own. Of an entry of a
// target the count of its writes is no change.
func (s *store) put(kind, name string, spec map[string]any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.written[kind+"/"+name] = time.Now()
	old, found := s.objects[kind][name]
	if found && comparable(old.Spec) == comparable(data) {
		return
	}
	o := object{Meta: objectMeta{Name: name, Created: s.revision + 1, Finalizers: []string{}}, Spec: data, Status: json.RawMessage("null")}
	if found {
		o.Meta.Created = old.Meta.Created
	}
	s.note(kind, o, false)
}

// comparable returns a content without the count of writes.
func comparable(spec json.RawMessage) string {
	var fields map[string]any
	if err := json.Unmarshal(spec, &fields); err != nil {
		return string(spec)
	}
	delete(fields, "seq")
	data, err := json.Marshal(fields)
	if err != nil {
		return string(spec)
	}
	return string(data)
}

func (s *store) note(kind string, o object, deleted bool) {
	s.revision++
	o.Meta.Revision = s.revision
	if deleted {
		delete(s.objects[kind], o.Meta.Name)
	} else {
		s.objects[kind][o.Meta.Name] = o
	}
	s.changes = append(s.changes, change{kind: kind, revision: s.revision, at: time.Now(), Deleted: deleted, Object: o})
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > historySpan {
		s.dropped = s.changes[0].revision
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o, found := s.objects[kind][name]; found {
		s.note(kind, o, true)
	}
}

// expire removes the entries of targets that have been silent.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mutex.Lock()
		for name, o := range s.objects["servers"] {
			if time.Since(s.written["servers/"+name]) > lapse {
				s.note("servers", o, true)
			}
		}
		s.mutex.Unlock()
	}
}

// refuse makes the store turn a caller away, or serve it again.
func (s *store) refuse(caller string, refused bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refusing[caller] = refused
}

// ServeHTTP answers the calls of hosts, which only read.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mutex.Lock()
	refused := s.refusing[caller]
	s.mutex.Unlock()
	query := r.URL.Query()
	switch {
	case refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !found || r.Method != http.MethodGet || strings.Contains(kind, "/"):
		w.WriteHeader(http.StatusNotFound)
	case query.Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind, query.Get("after"))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := []string{}
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][name])
	}
	write(w, map[string]any{"items": items, "hasMore": len(names) > pageItems, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mutex.Lock()
		if since < s.dropped {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > since {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || ended {
			write(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func write(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
