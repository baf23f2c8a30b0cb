// Package record defines what a target stand-in reports about each request
// that it ran. The same JSON object is the body of its answer and one line of
// its application record, so the caller stand-in can compare the two.
package record

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Record describes one run of a request at a target.
type Record struct {
	// Target is the name of the target that ran the request.
	Target string `json:"target"`
	// Service is the name of the service that the target belongs to.
	Service string `json:"service"`
	// Session is the session key from the metadata; empty without a session.
	Session string `json:"session"`
	// RequestID is the identity from the metadata.
	RequestID string `json:"request_id"`
	// Sequence is the position in the session, from 0.
	Sequence uint64 `json:"sequence"`
	// BodyDigest is the result of Digest on the request's body.
	BodyDigest string `json:"body_digest"`
}

// Digest returns the SHA-256 digest of a request's body in lower-case hex.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// ReadAll reads an application record: one JSON object a line. A last line
// without its end is an error, because a truncated record would count runs as
// lost.
func ReadAll(source io.Reader) ([]Record, error) {
	var list []Record
	reader := bufio.NewReader(source)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			if len(line) > 0 {
				return list, errors.Newf("line %d is truncated", len(list)+1)
			}
			return list, nil
		}
		if err != nil {
			return list, errors.Wrap(err, "reading the application record")
		}
		var r Record
		if err := json.Unmarshal(line, &r); err != nil {
			return list, errors.Wrapf(err, "line %d", len(list)+1)
		}
		list = append(list, r)
	}
}
