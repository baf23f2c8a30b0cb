package gossip

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"net/netip"
	"slices"
	"time"

	"oriolevalve/internal/catalog"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// decodedLimit bounds the bytes of a decompressed batch: 11,000 targets and 800
// services take 2 MB.
const decodedLimit = 32 << 20

// encode compresses a batch. Names of services and data centres repeat, so a
// target takes a quarter of its size as JSON.
func encode(b catalog.Batch) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "preparing to compress changes")
	}
	if err := gob.NewEncoder(w).Encode(b); err != nil {
		return nil, errors.Wrap(err, "encoding changes")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing changes")
	}
	return buffer.Bytes(), nil
}

func decode(data []byte) (catalog.Batch, error) {
	var b catalog.Batch
	r := flate.NewReader(bytes.NewReader(data))
	if err := gob.NewDecoder(io.LimitReader(r, decodedLimit)).Decode(&b); err != nil {
		return catalog.Batch{}, errors.Wrap(err, "decoding changes")
	}
	return b, nil
}

// messageEncoding writes fields in their order, without names, in as few bytes as
// they need.
var messageEncoding = mustMode(cbor.CoreDetEncOptions().EncMode())

func mustMode(m cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		// The options are constants.
		panic(err)
	}
	return m
}

// Encode returns the datagram of a message: CBOR (RFC 8949).
func (m *Message) Encode() ([]byte, error) {
	data, err := messageEncoding.Marshal(m)
	return data, errors.Wrap(err, "encoding a message")
}

// Check returns an error if a message can't be that of a host at an address, from which
// it came: it names another sender, to whom its answer would go, or an age in the
// future or beyond any life, which would confirm an old collection for long. Contested flows and
// suspected targets that can't be those of a host are left out, and so are more than a host would
// tell.
func (m *Message) Check(source netip.Addr) error {
	if m.From.Address != source.String() {
		return errors.Newf("the message names %q as its sender's address", m.From.Address)
	}
	for kind, state := range m.States {
		if state.Age < 0 || state.Age > ageLimit.Milliseconds() {
			return errors.Newf("the age of the %s is %d ms", catalog.Kind(kind), state.Age)
		}
	}
	for _, c := range m.Contacts {
		if c.Age > ageLimit.Milliseconds() {
			return errors.Newf("the age of host %q is %d ms", c.ID, c.Age)
		}
	}
	m.Contested = slices.DeleteFunc(m.Contested, func(c ContestedFlow) bool { return !c.valid() })
	m.Contested = m.Contested[:min(len(m.Contested), contestedAccepted)]
	m.Suspects = slices.DeleteFunc(m.Suspects, func(s SuspectedTarget) bool { return !s.valid() })
	m.Suspects = m.Suspects[:min(len(m.Suspects), suspectsAccepted)]
	return nil
}

// ageLimit bounds the ages in messages, far below those that overflow a duration.
const ageLimit = 365 * 24 * time.Hour

// DecodeMessage reads a datagram.
func DecodeMessage(data []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decoding a message")
	}
	return &m, nil
}
