// Package platform is a stand-in for the platform: an in-memory object store
// with versions, conditional updates and watches, and switches for its faults.
package platform

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/duration"
	"oriolevalve/internal/platform"

	"github.com/cockroachdb/errors"
)

// Switches are the faults that a Store can show.
type Switches struct {
	// Outage turns every call away and ends the watches.
	Outage bool `json:"outage"`
	// Silent leaves every call without an answer and without effect.
	Silent bool `json:"silent"`
	// Delay passes before each answer.
	Delay duration.Duration `json:"delay"`
	// LoseAnswers is the number of coming writes that take effect but whose
	// answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is the number of coming writes that are lost before they
	// take effect.
	LoseRequests int `json:"lose_requests"`
	// LoseKey limits the losses to one key. Empty for any key.
	LoseKey string `json:"lose_key"`
	// OutageAfterLosses begins an outage with the last loss, so that a writer
	// cannot read what became of its write.
	OutageAfterLosses bool `json:"outage_after_losses"`
	// HostListLag is the age of the host list.
	HostListLag duration.Duration `json:"host_list_lag"`
}

// Store is the object store. It is safe for concurrent use.
type Store struct {
	clock clock.Clock
	calls platform.Calls

	mutex    sync.Mutex
	switches Switches
	objects  map[string]platform.Object
	// version is the last version given to any object, so that a version is
	// never used again after a delete.
	version uint64
	// changed is closed and replaced at every change that a waiting call may
	// wait for.
	changed chan struct{}
	// silenced counts the calls of SilenceWatches. Older watches stay silent.
	silenced int
	watches  int
	// hosts are the versions of the host list, oldest first.
	hosts []hostList
}

type hostList struct {
	since time.Time
	hosts []platform.Host
}

// New returns an empty store.
func New(c clock.Clock) *Store {
	return &Store{clock: c, objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// Calls returns the counters of the calls that the store received.
func (s *Store) Calls() *platform.Calls { return &s.calls }

// Switches returns the switches.
func (s *Store) Switches() Switches {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.switches
}

// SetSwitches replaces the switches.
func (s *Store) SetSwitches(w Switches) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.switches = w
	s.notify()
}

// SilenceWatches makes the open watches silent for ever. New ones work.
func (s *Store) SilenceWatches() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silenced++
	s.notify()
}

// Watches returns the number of open watches.
func (s *Store) Watches() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.watches
}

// SetHost adds a host to the list or replaces its entry.
func (s *Store) SetHost(host platform.Host) {
	s.changeHosts(func(list []platform.Host) []platform.Host {
		list = slices.DeleteFunc(list, func(h platform.Host) bool { return h.ID == host.ID })
		list = append(list, host)
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		return list
	})
}

// RemoveHost removes a host from the list.
func (s *Store) RemoveHost(id string) {
	s.changeHosts(func(list []platform.Host) []platform.Host {
		return slices.DeleteFunc(list, func(h platform.Host) bool { return h.ID == id })
	})
}

func (s *Store) changeHosts(change func([]platform.Host) []platform.Host) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var current []platform.Host
	if n := len(s.hosts); n > 0 {
		current = slices.Clone(s.hosts[n-1].hosts)
	}
	s.hosts = append(s.hosts, hostList{since: s.clock.Now(), hosts: change(current)})
}

// laggingHosts returns the list as it was before the lag. The mutex is held.
func (s *Store) laggingHosts() []platform.Host {
	at := s.clock.Now().Add(-s.switches.HostListLag.Std())
	hosts := []platform.Host{}
	for _, l := range s.hosts {
		if l.since.After(at) {
			break
		}
		hosts = l.hosts
	}
	return slices.Clone(hosts)
}

// notify wakes the waiting calls. The mutex is held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// loss says where the answer of a write is lost.
type loss int

const (
	lossNone loss = iota
	lossRequest
	lossAnswer
)

// admit counts a call and applies the switches that act before its effect.
func (s *Store) admit(ctx context.Context, call, key string) error {
	s.calls.Add(call)
	for {
		s.mutex.Lock()
		w, changed := s.switches, s.changed
		s.mutex.Unlock()
		if w.Outage {
			return failure(platform.KindNotSent, call, key, "outage")
		}
		if !w.Silent {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return failure(platform.KindAnswerLost, call, key, "silent")
		}
	}
	if delay := s.Switches().Delay.Std(); delay > 0 {
		select {
		case <-s.clock.After(delay):
		case <-ctx.Done():
			return failure(platform.KindAnswerLost, call, key, "slow")
		}
	}
	return nil
}

// takeLoss uses up one loss of a write. The mutex is held.
func (s *Store) takeLoss(key string) loss {
	w := &s.switches
	if w.LoseKey != "" && w.LoseKey != key {
		return lossNone
	}
	taken := lossNone
	switch {
	case w.LoseRequests > 0:
		w.LoseRequests--
		taken = lossRequest
	case w.LoseAnswers > 0:
		w.LoseAnswers--
		taken = lossAnswer
	}
	if taken != lossNone && w.OutageAfterLosses && w.LoseRequests+w.LoseAnswers == 0 {
		w.Outage = true
		s.notify()
	}
	return taken
}

func failure(kind platform.Kind, call, key, cause string) error {
	return &platform.Error{Kind: kind, Call: call, Key: key, Cause: errors.New(cause)}
}

// Get implements platform.Client.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.admit(ctx, platform.CallGet, key); err != nil {
		return platform.Object{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, exists := s.objects[key]
	if !exists {
		return platform.Object{}, failure(platform.KindNotFound, platform.CallGet, key, "no such object")
	}
	return object, nil
}

// Create implements platform.Client.
func (s *Store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.write(ctx, platform.CallCreate, key, value, 0)
}

// UpdateIfVersion implements platform.Client.
func (s *Store) UpdateIfVersion(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	return s.write(ctx, platform.CallUpdate, key, value, version)
}

// write stores a value if the object has the given version; zero means that it
// must not exist.
func (s *Store) write(ctx context.Context, call, key string, value []byte, version uint64) (uint64, error) {
	if err := s.admit(ctx, call, key); err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, failure(platform.KindRefused, call, key, "the value is larger than 1 MB")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := s.takeLoss(key)
	if lost == lossRequest {
		return 0, failure(platform.KindAnswerLost, call, key, "request lost")
	}
	conflict := s.objects[key].Version != version || (version == 0 && call == platform.CallUpdate)
	if !conflict {
		s.version++
		s.objects[key] = platform.Object{Version: s.version, Value: slices.Clone(value)}
		s.notify()
	}
	switch {
	case lost == lossAnswer:
		return 0, failure(platform.KindAnswerLost, call, key, "answer lost")
	case conflict:
		return 0, failure(platform.KindConflict, call, key, "the object has another version")
	default:
		return s.version, nil
	}
}

// Delete implements platform.Client.
func (s *Store) Delete(ctx context.Context, key string) error {
	if err := s.admit(ctx, platform.CallDelete, key); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := s.takeLoss(key)
	if lost == lossRequest {
		return failure(platform.KindAnswerLost, platform.CallDelete, key, "request lost")
	}
	_, exists := s.objects[key]
	if exists {
		delete(s.objects, key)
		s.notify()
	}
	switch {
	case lost == lossAnswer:
		return failure(platform.KindAnswerLost, platform.CallDelete, key, "answer lost")
	case !exists:
		return failure(platform.KindNotFound, platform.CallDelete, key, "no such object")
	default:
		return nil
	}
}

// HostList implements platform.Client.
func (s *Store) HostList(ctx context.Context) ([]platform.Host, error) {
	if err := s.admit(ctx, platform.CallHostList, ""); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.laggingHosts(), nil
}

// Watch implements platform.Client. A silent watch is given up after
// platform.WatchSilence, as the HTTP client does.
func (s *Store) Watch(ctx context.Context, key string, version uint64) (platform.Object, error) {
	if err := s.admit(ctx, platform.CallWatch, key); err != nil {
		return platform.Object{}, err
	}
	var silence <-chan time.Time
	w := s.openWatch()
	defer w.close()
	for {
		object, state, changed := w.look(key, version)
		switch state {
		case watchChanged:
			return object, nil
		case watchEnded:
			return platform.Object{}, failure(platform.KindAnswerLost, platform.CallWatch, key, "outage")
		case watchSilent:
			if silence == nil {
				silence = s.clock.After(platform.WatchSilence)
			}
		}
		select {
		case <-changed:
		case <-silence:
			return platform.Object{}, failure(platform.KindAnswerLost, platform.CallWatch, key, "silent")
		case <-ctx.Done():
			return platform.Object{}, failure(platform.KindAnswerLost, platform.CallWatch, key, "canceled")
		}
	}
}

// watch is an open watch.
type watch struct {
	store *Store
	// silenced is the store's count when the watch was opened.
	silenced int
}

type watchState int

const (
	watchWaiting watchState = iota
	watchChanged
	watchSilent
	watchEnded
)

func (s *Store) openWatch() *watch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches++
	return &watch{store: s, silenced: s.silenced}
}

func (w *watch) close() {
	w.store.mutex.Lock()
	defer w.store.mutex.Unlock()
	w.store.watches--
}

// look returns what the watch sees, and a channel that is closed at the next
// change.
func (w *watch) look(key string, version uint64) (platform.Object, watchState, <-chan struct{}) {
	s := w.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object := s.objects[key]
	switch {
	case w.silenced != s.silenced || s.switches.Silent:
		return platform.Object{}, watchSilent, s.changed
	case s.switches.Outage:
		return platform.Object{}, watchEnded, s.changed
	case object.Version != version:
		return object, watchChanged, s.changed
	default:
		return platform.Object{}, watchWaiting, s.changed
	}
}
