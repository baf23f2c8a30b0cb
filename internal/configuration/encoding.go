package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"oriolevalve/pkg/flow"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that is written. The platform accepts up
// to 1 MB; the rest is a margin for its own fields.
const MaxValueBytes = 900_000

// HeadKey is the key of the object that names the current revision.
const HeadKey = "head"

// format is the version of the stored JSON. A host refuses other versions and
// keeps its last good configuration.
const format = 1

// Index names the segments of one revision.
type Index struct {
	Revision      uint64         `json:"revision"`
	AcceptedAt    time.Time      `json:"accepted_at"`
	LastServiceID flow.ServiceID `json:"last_service_id"`
	LastTargetID  flow.TargetID  `json:"last_target_id"`
	// Services are sorted by identifier.
	Services         []SegmentReference `json:"services"`
	RemovedAddresses []RemovedAddress   `json:"removed_addresses,omitempty"`
}

// SegmentReference names the segment of one service.
type SegmentReference struct {
	Service flow.ServiceID `json:"service"`
	// Version is the revision that wrote the segment.
	Version uint64 `json:"version"`
	// Digest is the SHA-256 of the segment's bytes in hexadecimal.
	Digest string `json:"digest"`
}

// Key returns the key of the segment's object. It contains the digest, so an
// attempt that lost the race for a revision cannot block another one.
func (r SegmentReference) Key() string {
	return fmt.Sprintf("segment/%d/%d-%.16s", r.Service, r.Version, r.Digest)
}

// Head is the object whose conditional update commits a change.
type Head struct {
	Format int `json:"format"`
	Index
	// Audit holds the latest entries, oldest first.
	Audit []AuditEntry `json:"audit"`
	// AuditChunks refer to the older entries, oldest first.
	AuditChunks []AuditChunkReference `json:"audit_chunks,omitempty"`
	// Obsolete lists objects that no revision refers to any more. They are
	// deleted by a later change, once no host reads them.
	Obsolete []ObsoleteObject `json:"obsolete,omitempty"`
}

// ObsoleteObject is an object to delete.
type ObsoleteObject struct {
	Key   string    `json:"key"`
	Since time.Time `json:"since"`
}

// AuditEntry records one accepted change.
type AuditEntry struct {
	Revision uint64     `json:"revision"`
	Time     time.Time  `json:"time"`
	Actor    string     `json:"actor"`
	Identity string     `json:"identity"`
	Action   ChangeKind `json:"action"`
	// RequestDigest distinguishes a repeat from another change under the same
	// identity.
	RequestDigest string            `json:"request_digest"`
	Services      []ServiceVersions `json:"services"`
	// Differences has one line for each changed field, up to
	// MaxDifferenceBytes. The number of lines left out is Omitted.
	Differences []string `json:"differences"`
	Omitted     int      `json:"omitted,omitempty"`
}

// ServiceVersions are the versions of a service before and after a change.
// Zero means that it did not exist.
type ServiceVersions struct {
	Name   string `json:"name"`
	Before uint64 `json:"before"`
	After  uint64 `json:"after"`
}

// AuditChunkReference names an immutable object with older audit entries.
type AuditChunkReference struct {
	Digest        string    `json:"digest"`
	FirstRevision uint64    `json:"first_revision"`
	LastRevision  uint64    `json:"last_revision"`
	LastTime      time.Time `json:"last_time"`
	Entries       int       `json:"entries"`
}

// Key returns the key of the chunk's object.
func (r AuditChunkReference) Key() string {
	return fmt.Sprintf("audit/%d-%d-%.16s", r.FirstRevision, r.LastRevision, r.Digest)
}

type segment struct {
	Format int `json:"format"`
	// Operation makes the digest unique to the operation that wrote it, so a
	// failed attempt can delete its segments.
	Operation string  `json:"operation"`
	Service   Service `json:"service"`
}

type auditChunk struct {
	Format  int          `json:"format"`
	Entries []AuditEntry `json:"entries"`
}

// EncodeHead returns the head's bytes. It fails if they exceed MaxValueBytes.
func EncodeHead(h *Head) ([]byte, error) {
	h.Format = format
	return encode("head", h)
}

// DecodeHead reads a head and checks its order and digests.
func DecodeHead(value []byte) (*Head, error) {
	var h Head
	if err := decodeStrictly(value, &h); err != nil {
		return nil, errors.Wrap(err, "decode head")
	}
	if h.Format != format {
		return nil, errors.Newf("decode head: format %d is not %d", h.Format, format)
	}
	if err := h.check(); err != nil {
		return nil, errors.Wrap(err, "decode head")
	}
	for _, c := range h.AuditChunks {
		if !isDigest(c.Digest) {
			return nil, errors.Newf("decode head: audit chunk %d has digest %q", c.FirstRevision, c.Digest)
		}
	}
	return &h, nil
}

func (x *Index) check() error {
	for i, r := range x.Services {
		switch {
		case r.Service == 0 || r.Service > x.LastServiceID:
			return errors.Newf("service identifier %d is not from 1 to %d", r.Service, x.LastServiceID)
		case i > 0 && x.Services[i-1].Service >= r.Service:
			return errors.Newf("service identifier %d is not in ascending order", r.Service)
		case r.Version > x.Revision:
			return errors.Newf("service %d has version %d above revision %d", r.Service, r.Version, x.Revision)
		case !isDigest(r.Digest):
			return errors.Newf("service %d has digest %q", r.Service, r.Digest)
		}
	}
	return nil
}

// Digest returns the digest that all hosts with the same revision agree on.
func (x *Index) Digest() (string, error) {
	value, err := json.Marshal(x)
	if err != nil {
		return "", errors.Wrap(err, "encode index")
	}
	return Digest(value), nil
}

// EncodeSegment returns the bytes of a service's segment and its reference.
// It fails if the bytes exceed MaxValueBytes.
func EncodeSegment(s *Service, operation string) ([]byte, SegmentReference, error) {
	value, err := encode("segment of service "+s.Name, segment{Format: format, Operation: operation, Service: *s})
	if err != nil {
		return nil, SegmentReference{}, err
	}
	return value, SegmentReference{Service: s.ID, Version: s.Version, Digest: Digest(value)}, nil
}

// DecodeSegment reads a segment and checks it against its reference.
func DecodeSegment(value []byte, r SegmentReference) (*Service, error) {
	if digest := Digest(value); digest != r.Digest {
		return nil, errors.Newf("%s: digest %.16s does not match %.16s", r.Key(), digest, r.Digest)
	}
	var s segment
	if err := decodeStrictly(value, &s); err != nil {
		return nil, errors.Wrapf(err, "decode %s", r.Key())
	}
	if s.Format != format {
		return nil, errors.Newf("decode %s: format %d is not %d", r.Key(), s.Format, format)
	}
	if s.Service.ID != r.Service || s.Service.Version != r.Version {
		return nil, errors.Newf("decode %s: it holds service %d version %d", r.Key(), s.Service.ID, s.Service.Version)
	}
	return &s.Service, nil
}

// EncodeAuditChunk returns the bytes of a chunk and its reference. The entries
// must not be empty.
func EncodeAuditChunk(entries []AuditEntry) ([]byte, AuditChunkReference, error) {
	value, err := encode("audit chunk", auditChunk{Format: format, Entries: entries})
	if err != nil {
		return nil, AuditChunkReference{}, err
	}
	last := entries[len(entries)-1]
	return value, AuditChunkReference{
		Digest: Digest(value), FirstRevision: entries[0].Revision, LastRevision: last.Revision,
		LastTime: last.Time, Entries: len(entries),
	}, nil
}

// DecodeAuditChunk reads a chunk and checks it against its reference.
func DecodeAuditChunk(value []byte, r AuditChunkReference) ([]AuditEntry, error) {
	if digest := Digest(value); digest != r.Digest {
		return nil, errors.Newf("%s: digest %.16s does not match %.16s", r.Key(), digest, r.Digest)
	}
	var c auditChunk
	if err := decodeStrictly(value, &c); err != nil {
		return nil, errors.Wrapf(err, "decode %s", r.Key())
	}
	if c.Format != format {
		return nil, errors.Newf("decode %s: format %d is not %d", r.Key(), c.Format, format)
	}
	return c.Entries, nil
}

func encode(name string, content any) ([]byte, error) {
	value, err := json.Marshal(content)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", name)
	}
	if len(value) > MaxValueBytes {
		return nil, errors.Newf("%s takes %d bytes, the limit is %d", name, len(value), MaxValueBytes)
	}
	return value, nil
}

// decodeStrictly refuses unknown fields and data after the value.
func decodeStrictly(value []byte, content any) error {
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(content); err != nil {
		return errors.Wrapf(err, "at byte %d", d.InputOffset())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.Newf("at byte %d: data after the value", d.InputOffset())
	}
	return nil
}

// Digest returns the SHA-256 of a value in hexadecimal.
func Digest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

func isDigest(text string) bool {
	if len(text) != 2*sha256.Size {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}
