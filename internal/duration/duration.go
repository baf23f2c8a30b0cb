// Package duration provides a duration that JSON documents write with its
// unit, such as "30s" or "500ms".
package duration

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration whose text form carries a unit.
type Duration time.Duration

// Std returns the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form, such as "1m30s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It fails for a number
// without a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as \"30s\"", text)
	}
	*d = Duration(parsed)
	return nil
}
