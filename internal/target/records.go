package target

import (
	"bytes"
	"slices"

	"oriolevalve/pkg/flow"
)

// recordShards is the number of shards of a record map. Expiry and map growth then
// process one shard at a time while the host holds the owner's lock.
const recordShards = 64

// record is the value of a session or an identity in a recordMap.
type record struct {
	// value is the target of a session, or the state of an identity.
	value uint32
	// seenAndFlags is the time of the last request in tenths of a second since
	// the owner's start. The three highest bits are flags.
	seenAndFlags uint32
}

// The flags of a record. The remaining 29 bits are enough for 1.7 years.
const (
	// recordTentative marks a new session until an attempt may have run at its
	// target.
	recordTentative uint32 = 1 << 31
	// recordAssumed marks a record made by the base rule. A record from the
	// previous flow owner replaces it.
	recordAssumed uint32 = 1 << 30
	// recordStale marks a record made before this host lost the ownership, or a
	// copy that this host holds as the backup.
	recordStale uint32 = 1 << 29
	// recordUncertain selects the records that a handover may replace.
	recordUncertain = recordAssumed | recordStale
	recordFlags     = recordTentative | recordUncertain
)

func (r record) lastSeen() uint32 { return r.seenAndFlags &^ recordFlags }

// recordMap holds records by key. Callers choose the session keys that are hashed to
// a flow.Key. The random seed of Go's maps keeps them from provoking collisions.
type recordMap struct {
	shards [recordShards]map[flow.Key]record
	// cursor is the shard that expireShard visits next.
	cursor int
	// count is the number of records in all shards.
	count int
}

func shardOf(key *flow.Key) int { return int(key[15]) % recordShards }

func (m *recordMap) get(key flow.Key) (record, bool) {
	r, ok := m.shards[shardOf(&key)][key]
	return r, ok
}

func (m *recordMap) put(key flow.Key, r record) {
	i := shardOf(&key)
	if m.shards[i] == nil {
		m.shards[i] = make(map[flow.Key]record)
	}
	before := len(m.shards[i])
	m.shards[i][key] = r
	m.count += len(m.shards[i]) - before
}

func (m *recordMap) remove(key flow.Key) {
	i := shardOf(&key)
	before := len(m.shards[i])
	delete(m.shards[i], key)
	m.count += len(m.shards[i]) - before
}

// setFlag sets a flag on all records.
func (m *recordMap) setFlag(flag uint32) {
	for _, shard := range m.shards {
		for key, r := range shard {
			r.seenAndFlags |= flag
			shard[key] = r
		}
	}
}

// expireShard removes the records of the next shard for which expired returns true.
func (m *recordMap) expireShard(expired func(flow.Key, record) bool) {
	i := m.cursor
	m.cursor = (m.cursor + 1) % recordShards
	for key, r := range m.shards[i] {
		if expired(key, r) {
			delete(m.shards[i], key)
			m.count--
		}
	}
	if len(m.shards[i]) == 0 {
		// A map does not free memory when its entries are deleted.
		m.shards[i] = nil
	}
}

// sortedKeys returns the keys for which selected returns true, in ascending order.
// A replay of the same events thus gives the same actions.
func (m *recordMap) sortedKeys(selected func(flow.Key, record) bool) []flow.Key {
	var keys []flow.Key
	for _, shard := range m.shards {
		for key, r := range shard {
			if selected(key, r) {
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, func(a, b flow.Key) int { return bytes.Compare(a[:], b[:]) })
	return keys
}
