package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// Limits of the audit trail.
const (
	// MaxHeadAuditEntries is the number of audit entries in the head from which the
	// older half moves to a chunk. Moving 32 at a time keeps the chunks full
	// enough for 90 days of 900 changes in 200 chunks.
	MaxHeadAuditEntries = 64
	// MaxHeadAuditBytes moves entries earlier if they are large.
	MaxHeadAuditBytes = 256_000
	// MaxAuditChunkEntries and MaxAuditChunkBytes limit one chunk.
	MaxAuditChunkEntries = 512
	MaxAuditChunkBytes   = 800_000
	// MaxAuditChunks and ChunkAge limit the chunks that are kept.
	MaxAuditChunks   = 200
	MaxAuditChunkAge = 90 * 24 * time.Hour
	// MaxDifferenceBytes limits the differences of one entry.
	MaxDifferenceBytes = 16_000
)

// Lines returns the differences and, if some were left out, their number.
func (e AuditEntry) Lines() []string {
	if e.Omitted == 0 {
		return e.Differences
	}
	return append(e.Differences[:len(e.Differences):len(e.Differences)],
		fmt.Sprintf("%d more differences are not recorded", e.Omitted))
}

func findIdentity(entries []AuditEntry, identity string) *AuditEntry {
	for i := range entries {
		if entries[i].Identity == identity {
			return &entries[i]
		}
	}
	return nil
}

// findInChunk decodes only a chunk that contains the identity's text, because
// decoding 512 entries takes several milliseconds. JSON escapes no character
// that an identity may have.
func findInChunk(value []byte, r AuditChunkReference, identity string) (*AuditEntry, error) {
	if Digest(value) == r.Digest && !bytes.Contains(value, []byte(`"`+identity+`"`)) {
		return nil, nil
	}
	entries, err := DecodeAuditChunk(value, r)
	return findIdentity(entries, identity), err
}

func newAuditEntry(o Operation, base, next *Configuration, differences []Difference) AuditEntry {
	entry := AuditEntry{
		Revision: next.Revision, Time: next.AcceptedAt, Actor: o.Actor, Identity: o.Identity,
		Action: o.Change.Kind, RequestDigest: o.digest(), Differences: []string{},
	}
	for _, name := range o.Change.ServiceNames() {
		versions := ServiceVersions{Name: name}
		if s, existed := base.Service(name); existed {
			versions.Before = s.Version
		}
		if s, exists := next.Service(name); exists {
			versions.After = s.Version
		}
		if versions.Before != versions.After {
			entry.Services = append(entry.Services, versions)
		}
	}
	size := 0
	for i, d := range differences {
		line := d.String()
		if size += len(line); size > MaxDifferenceBytes {
			entry.Omitted = len(differences) - i
			break
		}
		entry.Differences = append(entry.Differences, line)
	}
	return entry
}

// overflow returns the entries that the next change moves to a chunk, and the
// last chunk if they fit into it. Both depend only on the head, so that racing
// changes write the same chunk.
func (h *Head) overflow() ([]AuditEntry, *AuditChunkReference) {
	sizes := make([]int, len(h.Audit))
	total := 0
	for i, e := range h.Audit {
		sizes[i] = encodedSize(e)
		total += sizes[i]
	}
	count := 0
	if len(h.Audit) >= MaxHeadAuditEntries {
		count = len(h.Audit) - MaxHeadAuditEntries/2
	}
	if total > MaxHeadAuditBytes {
		kept := 0
		for i := len(sizes) - 1; i >= 0; i-- {
			if kept += sizes[i]; kept > MaxHeadAuditBytes/2 {
				count = max(count, min(i+1, len(sizes)))
				break
			}
		}
	}
	if count == 0 {
		return nil, nil
	}
	if n := len(h.AuditChunks); n > 0 && h.AuditChunks[n-1].Entries+count <= MaxAuditChunkEntries {
		return h.Audit[:count], &h.AuditChunks[n-1]
	}
	return h.Audit[:count], nil
}

func encodedSize(content any) int {
	value, err := json.Marshal(content)
	if err != nil {
		return 0
	}
	return len(value)
}

// moveEntries adds the chunks with the entries to the plan. It returns the keys
// of the chunks that they replace.
func (p *commitPlan) moveEntries(
	entries []AuditEntry, merged *AuditChunkReference, objects map[string][]byte,
) ([]string, error) {
	var replaced []string
	if merged != nil {
		// A damaged chunk stays as it is.
		if older, err := DecodeAuditChunk(objects[merged.Key()], *merged); err == nil &&
			len(objects[merged.Key()])+encodedSize(entries) <= MaxAuditChunkBytes {
			entries = append(older, entries...)
			replaced = append(replaced, merged.Key())
			p.head.AuditChunks = p.head.AuditChunks[:len(p.head.AuditChunks)-1]
		}
	}
	value, reference, err := EncodeAuditChunk(entries)
	if err != nil {
		return nil, err
	}
	p.head.AuditChunks = append(p.head.AuditChunks, reference)
	p.creates = append(p.creates, CommitAction{Kind: CommitCreateObject, Key: reference.Key(), Value: value})
	return replaced, nil
}

// dropOldChunks removes the references of chunks past their limits and returns
// their keys.
func (h *Head) dropOldChunks(now time.Time) []string {
	var dropped []string
	for len(h.AuditChunks) > MaxAuditChunks ||
		len(h.AuditChunks) > 0 && now.Sub(h.AuditChunks[0].LastTime) > MaxAuditChunkAge {
		dropped = append(dropped, h.AuditChunks[0].Key())
		h.AuditChunks = h.AuditChunks[1:]
	}
	return dropped
}
