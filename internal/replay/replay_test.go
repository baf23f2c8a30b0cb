package replay_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"oriolevalve/internal/replay"
)

func load(t *testing.T, name string) *replay.Trace {
	trace, err := replay.LoadTrace(filepath.Join("testdata", "traces", name+".json"))
	require.NoError(t, err)
	return trace
}

// Guards against a decision that no longer brings about the stated outcome of a
// trace. Each trace names the failure that it provokes.
func TestTracesHoldTheirOutcomes(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		trace, err := replay.LoadTrace(file)
		require.NoError(t, err)
		t.Run(trace.Name, func(t *testing.T) {
			t.Parallel()
			verdicts, held := replay.Run(trace).Check(trace.Expect)
			for _, v := range verdicts {
				require.True(t, v.Held, "%s = %g, stated %s (guards against: %s)", v.Measure, v.Value, v.Bound, trace.GuardsAgainst)
			}
			require.True(t, held)
		})
	}
}

// Guards against the return of faults that only some seeds show. Each case names
// its cause.
func TestSeedsThatFailed(t *testing.T) {
	data, err := os.ReadFile("testdata/seeds.json")
	require.NoError(t, err)
	var cases []struct {
		Trace, Cause string
		Seed         uint64
	}
	require.NoError(t, json.Unmarshal(data, &cases))
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(fmt.Sprint(c.Trace, "/", c.Seed), func(t *testing.T) {
			t.Parallel()
			trace := load(t, c.Trace)
			trace.Seed = c.Seed
			verdicts, held := replay.Run(trace).Check(trace.Expect)
			require.True(t, held, "%v (%s)", verdicts, c.Cause)
		})
	}
}

// Guards against traces that hold without the decision that they are meant to
// prove.
func TestTracesMissWithoutTheDecision(t *testing.T) {
	data, err := os.ReadFile("testdata/naive.json")
	require.NoError(t, err)
	var cases []struct{ Trace, Without, Measure string }
	require.NoError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Trace+"/"+c.Without, func(t *testing.T) {
			t.Parallel()
			trace := load(t, c.Trace)
			trace.Without = []string{c.Without}
			verdicts, held := replay.Run(trace).Check(trace.Expect)
			require.False(t, held)
			missed := map[string]bool{}
			for _, v := range verdicts {
				missed[v.Measure] = !v.Held
			}
			require.True(t, missed[c.Measure], "%s is held without %s", c.Measure, c.Without)
		})
	}
}

// Guards against a replay that depends on anything but the trace and its seed.
func TestReplayIsReproducible(t *testing.T) {
	first := replay.Run(load(t, "unmarked-repeats"))
	second := replay.Run(load(t, "unmarked-repeats"))
	require.Equal(t, first.Log, second.Log)
	require.Equal(t, first.Measures(), second.Measures())
}

// Guards against a misspelt trace that would be skipped or pass without a check.
func TestTraceIsStrict(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":   `{"duration":"1s","hosts":[{"id":"h1","data_centre":"a"}],"expect":[{"measure":"lost","max":0}],"typo":1}`,
		"unknown event":   `{"duration":"1s","hosts":[{"id":"h1","data_centre":"a"}],"expect":[{"measure":"lost","max":0}],"events":[{"at":"1s","kind":"explode"}]}`,
		"unknown measure": `{"duration":"1s","hosts":[{"id":"h1","data_centre":"a"}],"expect":[{"measure":"luck","max":0}]}`,
		"no expectation":  `{"duration":"1s","hosts":[{"id":"h1","data_centre":"a"}]}`,
		"no bound":        `{"duration":"1s","hosts":[{"id":"h1","data_centre":"a"}],"expect":[{"measure":"lost"}]}`,
		"no host":         `{"duration":"1s","expect":[{"measure":"lost","max":0}]}`,
	} {
		_, err := replay.ParseTrace([]byte(text))
		require.Error(t, err, name)
	}
}
