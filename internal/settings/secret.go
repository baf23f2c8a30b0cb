package settings

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

const mask = "[masked]"

// Secret is a string that no log line, error or JSON document shows.
type Secret struct {
	value string
}

// NewSecret returns a secret with the given value.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the value, for the library that needs it.
func (s Secret) Reveal() string { return s.value }

// Empty reports whether there is no value.
func (s Secret) Empty() bool { return s.value == "" }

// String returns the mask, or nothing for an empty secret.
func (s Secret) String() string {
	if s.value == "" {
		return ""
	}
	return mask
}

// Format implements fmt.Formatter, so that no verb prints the field.
func (s Secret) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte(s.String())) }

// MarshalJSON returns the masked form. zap uses it for reflected values.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// UnmarshalJSON reads the value. Its errors don't quote the value.
func (s *Secret) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, &s.value); err != nil {
		return errors.New("must be a string")
	}
	return nil
}
