package golden

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Script plays the lines of an input and returns them with what they write. "at" sets the
// time and lines that begin with "#" are comments; the others are left to the function.
func Script(t *testing.T, input []byte, play func(words []string, now time.Duration, out *strings.Builder)) string {
	t.Helper()
	var out strings.Builder
	var now time.Duration
	for line := range strings.Lines(string(input)) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		fmt.Fprintln(&out, strings.TrimSpace(line))
		if words[0] == "at" {
			var err error
			now, err = time.ParseDuration(words[1])
			require.NoError(t, err)
		}
		play(words, now, &out)
	}
	return out.String()
}
