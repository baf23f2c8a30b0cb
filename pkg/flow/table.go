package flow

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Table maps the buckets of one service to targets by Maglev hashing. It is
// immutable and uses 2 bytes a bucket.
type Table struct {
	// targets is the canonical input: sorted by identifier, without duplicates
	// and without targets of weight zero.
	targets []TableTarget
	buckets []uint16
}

// NewTable builds a table of the given number of buckets. The result depends
// only on the set of targets, not on their order. A target of weight zero
// takes no buckets; of entries with the same identifier, the one with the
// largest weight counts. Without targets the table names no target. At most
// 65,535 targets take part, those with the lowest identifiers.
func NewTable(targets []TableTarget, size uint32) *Table {
	return buildTable(canonicalTargets(targets), size)
}

func canonicalTargets(targets []TableTarget) []TableTarget {
	list := make([]TableTarget, 0, len(targets))
	for _, t := range targets {
		if t.Weight > 0 && t.ID != 0 {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b TableTarget) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Weight, a.Weight))
	})
	list = slices.CompactFunc(list, func(a, b TableTarget) bool { return a.ID == b.ID })
	if len(list) > math.MaxUint16 {
		list = list[:math.MaxUint16]
	}
	return slices.Clip(list)
}

func buildTable(targets []TableTarget, size uint32) *Table {
	if len(targets) == 0 || size == 0 {
		return &Table{}
	}
	t := &Table{targets: targets, buckets: make([]uint16, size)}
	type walk struct {
		position, skip uint64
		credit         uint64
	}
	walks := make([]walk, len(targets))
	var heaviest uint64
	for i, target := range targets {
		position, skip := permutation(target.ID, uint64(size))
		walks[i] = walk{position: position, skip: skip}
		heaviest = max(heaviest, uint64(target.Weight))
	}
	taken := make([]bool, size)
	free := size
	// In each round the heaviest target takes one bucket, and each other target
	// as many turns as its weight has saved up.
	for free > 0 {
		for i := range walks {
			w := &walks[i]
			w.credit += uint64(targets[i].Weight)
			if w.credit < heaviest {
				continue
			}
			w.credit -= heaviest
			for taken[w.position] {
				w.position += w.skip
				if w.position >= uint64(size) {
					w.position -= uint64(size)
				}
			}
			taken[w.position] = true
			t.buckets[w.position] = uint16(i)
			free--
			if free == 0 {
				break
			}
		}
	}
	return t
}

// permutation returns the start and the step of a target's walk over the
// buckets. The step has no common factor with the size, so the walk visits
// every bucket even if the size is not prime.
func permutation(target TargetID, size uint64) (start, step uint64) {
	if size == 1 {
		return 0, 1
	}
	var data [4]byte
	binary.BigEndian.PutUint32(data[:], uint32(target))
	hash := xxh3.Hash128(data[:])
	step = hash.Lo%(size-1) + 1
	for commonDivisor(step, size) != 1 {
		step--
	}
	return hash.Hi % size, step
}

func commonDivisor(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Size returns the number of buckets; zero for a table without targets.
func (t *Table) Size() uint32 { return uint32(len(t.buckets)) }

// Targets returns the targets in the order of their identifiers. The caller
// must not change the result.
func (t *Table) Targets() []TableTarget { return t.targets }

// Bucket returns the bucket of a flow.
func (t *Table) Bucket(k Key) uint32 {
	if len(t.buckets) == 0 {
		return 0
	}
	return uint32(binary.BigEndian.Uint64(k[8:]) % uint64(len(t.buckets)))
}

// TargetAt returns the target of a bucket; zero for a table without targets
// and for a bucket outside the table.
func (t *Table) TargetAt(bucket uint32) TargetID {
	if int64(bucket) >= int64(len(t.buckets)) {
		return 0
	}
	return t.targets[t.buckets[bucket]].ID
}

// TargetOf returns the target of a flow; zero for a table without targets.
func (t *Table) TargetOf(k Key) TargetID { return t.TargetAt(t.Bucket(k)) }

// Moved returns the number of buckets whose target differs in the other
// table. Both tables must have been built for the same size; a table without
// targets differs in every bucket.
func (t *Table) Moved(other *Table) int {
	moved := 0
	for b := range max(t.Size(), other.Size()) {
		if t.TargetAt(b) != other.TargetAt(b) {
			moved++
		}
	}
	return moved
}
