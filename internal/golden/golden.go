// Package golden runs scripted tests from data files: each directory holds an
// input and the output that is expected of it.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the expected output of the scripted tests")

// Run passes each input that the pattern finds to a function and compares its
// result with the file beside it: expected, or expected.txt for an input with an
// extension.
func Run(t *testing.T, pattern string, run func(t *testing.T, input []byte) string) {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		directory := filepath.Dir(path)
		t.Run(filepath.Base(directory), func(t *testing.T) {
			input, err := os.ReadFile(path)
			require.NoError(t, err)
			result := run(t, input)
			expected := filepath.Join(directory, "expected")
			if filepath.Ext(path) != "" {
				expected += ".txt"
			}
			if *update {
				require.NoError(t, os.WriteFile(expected, []byte(result), 0o644))
			}
			want, err := os.ReadFile(expected)
			require.NoError(t, err)
			require.Equal(t, string(want), result)
		})
	}
}

// Decode reads an input of JSON into a value. A field that the value does not have
// fails the test, so that a misspelt one is not skipped.
func Decode(t *testing.T, input []byte, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(input))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(into))
}
