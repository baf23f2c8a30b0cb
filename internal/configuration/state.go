package configuration

import (
	"cmp"
	"slices"

	"oriolevalve/pkg/flow"

	"github.com/cockroachdb/errors"
)

// State is one revision with the segments from which it was decoded. It is
// immutable.
type State struct {
	index         Index
	configuration Configuration
	// segments and services are keyed by digest.
	segments map[string][]byte
	services map[string]*Service
}

// NewState returns revision 0, which has no services.
func NewState() *State { return &State{} }

// Configuration returns the decoded configuration.
func (s *State) Configuration() *Configuration { return &s.configuration }

// Revision returns the revision of the state.
func (s *State) Revision() uint64 { return s.index.Revision }

// Index returns the names of the segments.
func (s *State) Index() Index { return s.index }

// missing returns the references of an index whose segments the state does not
// hold and that are not among the given objects.
func (s *State) missing(index Index, objects map[string][]byte) []SegmentReference {
	var list []SegmentReference
	for _, r := range index.Services {
		if _, held := s.segments[r.Digest]; held {
			continue
		}
		if _, read := objects[r.Key()]; !read {
			list = append(list, r)
		}
	}
	return list
}

// assemble decodes a revision from the segments of this state and the given
// objects, and checks all its rules.
func (s *State) assemble(index Index, objects map[string][]byte) (*State, error) {
	if err := index.check(); err != nil {
		return nil, err
	}
	next := &State{
		index: index,
		configuration: Configuration{
			Revision: index.Revision, AcceptedAt: index.AcceptedAt,
			LastServiceID: index.LastServiceID, LastTargetID: index.LastTargetID,
			Services:         make([]Service, 0, len(index.Services)),
			RemovedAddresses: index.RemovedAddresses,
		},
		segments: make(map[string][]byte, len(index.Services)),
		services: make(map[string]*Service, len(index.Services)),
	}
	for _, r := range index.Services {
		value, service := s.segments[r.Digest], s.services[r.Digest]
		if service == nil {
			object, read := objects[r.Key()]
			if !read {
				return nil, errors.Newf("%s is missing", r.Key())
			}
			var err error
			if service, err = DecodeSegment(object, r); err != nil {
				return nil, err
			}
			value = object
		}
		next.segments[r.Digest], next.services[r.Digest] = value, service
		next.configuration.Services = append(next.configuration.Services, *service)
	}
	held := func(service *Service) bool {
		i, _ := slices.BinarySearchFunc(index.Services, service.ID,
			func(r SegmentReference, id flow.ServiceID) int { return cmp.Compare(r.Service, id) })
		return s.services[index.Services[i].Digest] != nil
	}
	if problems := next.configuration.validate(held); len(problems) > 0 {
		return nil, errors.Wrapf(problems, "revision %d", index.Revision)
	}
	return next, nil
}

// Delta is what a host sends to a peer that has an older revision. Its fields
// are exported for the peer protocol's encoding.
type Delta struct {
	// Index lists only the segments that changed after the receiver's revision.
	Index Index
	// Services are the identifiers of all services.
	Services []flow.ServiceID
	// Digest is the digest of the complete index.
	Digest string
	// Segments are the contents for Index.Services, in the same order.
	Segments [][]byte
}

// Delta returns the changes since the revision that a peer has. For a peer
// with the same or a later revision only the revision is set.
func (s *State) Delta(known uint64) (Delta, error) {
	if known >= s.index.Revision {
		return Delta{Index: Index{Revision: s.index.Revision}}, nil
	}
	digest, err := s.index.Digest()
	if err != nil {
		return Delta{}, err
	}
	d := Delta{Index: s.index, Digest: digest}
	d.Index.Services = nil
	for _, r := range s.index.Services {
		d.Services = append(d.Services, r.Service)
		if r.Version > known {
			d.Index.Services = append(d.Index.Services, r)
			d.Segments = append(d.Segments, s.segments[r.Digest])
		}
	}
	return d, nil
}

// WithDelta returns the state that results from a peer's delta. It fails if the
// delta does not fit this state or is damaged.
func (s *State) WithDelta(d Delta) (*State, error) {
	if len(d.Segments) != len(d.Index.Services) {
		return nil, errors.Newf("delta has %d segments for %d services", len(d.Segments), len(d.Index.Services))
	}
	references := make(map[flow.ServiceID]SegmentReference, len(d.Services))
	for _, r := range s.index.Services {
		references[r.Service] = r
	}
	objects := make(map[string][]byte, len(d.Segments))
	for i, r := range d.Index.Services {
		references[r.Service] = r
		objects[r.Key()] = d.Segments[i]
	}
	index := d.Index
	index.Services = nil
	for _, id := range d.Services {
		r, known := references[id]
		if !known {
			return nil, errors.Newf("delta has no segment for service %d", id)
		}
		index.Services = append(index.Services, r)
	}
	digest, err := index.Digest()
	if err != nil {
		return nil, err
	}
	if digest != d.Digest {
		return nil, errors.Newf("delta for revision %d: digest %.16s does not match %.16s",
			index.Revision, digest, d.Digest)
	}
	return s.assemble(index, objects)
}
