package settings_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oriolevalve/internal/settings"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a faulty document being accepted, against a report that stops
// at the first problem, and against a report that quotes a secret.
func TestParseHostReportsEveryProblem(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*/input.json")
	require.NoError(t, err)
	require.NotEmpty(t, inputs)
	for _, input := range inputs {
		directory := filepath.Dir(input)
		t.Run(filepath.Base(directory), func(t *testing.T) {
			data, err := os.ReadFile(input)
			require.NoError(t, err)
			expected, err := os.ReadFile(filepath.Join(directory, "expected.txt"))
			require.NoError(t, err)
			_, err = settings.ParseHost(data, func(string) (string, bool) { return "", false })
			report := "ok"
			if err != nil {
				report = err.Error()
			}
			require.Equal(t, strings.TrimSpace(string(expected)), report)
			require.NotContains(t, report, "hidden-value")
		})
	}
}

// Guards against example files that drift from the settings' rules or that
// claim one address twice.
func TestExamplesWorkTogether(t *testing.T) {
	used := map[string]string{}
	for _, name := range []string{"host-1.json", "host-2.json", "host-3.json"} {
		h, err := settings.LoadHost(filepath.Join("../../examples", name))
		require.NoError(t, err, name)
		require.Contains(t, h.Seeds, h.Advertise.Peer)
		for _, address := range append(h.Listen.Callers, h.Listen.Peer, h.Listen.Operator, h.Listen.Metrics) {
			require.Empty(t, used[address], "%s is in two files", address)
			used[address] = name
		}
	}
}

// Guards against a secret in a log line, an error or a JSON document.
func TestSecretIsMaskedInEveryForm(t *testing.T) {
	const value = "hidden-value"
	holder := struct{ Key settings.Secret }{settings.NewSecret(value)}
	encoded, err := json.Marshal(holder)
	require.NoError(t, err)
	core, logs := observer.New(zapcore.DebugLevel)
	zap.New(core).Info("e", zap.Any("any", holder), zap.Stringer("stringer", holder.Key), zap.Reflect("reflect", holder.Key))
	line, err := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()).EncodeEntry(logs.All()[0].Entry, logs.All()[0].Context)
	require.NoError(t, err)
	for _, text := range []string{
		string(encoded), line.String(), fmt.Sprint(holder), fmt.Sprintf("%+v %#v %q %x", holder, holder, holder.Key, holder.Key),
	} {
		require.NotContains(t, text, value)
		require.Contains(t, text, "[masked]")
	}
	require.Equal(t, value, holder.Key.Reveal())
}

// Guards against a faulty document of a packet host being accepted, and against
// a report that stops at the first problem.
func TestParseNodeReportsEveryProblem(t *testing.T) {
	inputs, err := filepath.Glob("testdata/node/*/input.json")
	require.NoError(t, err)
	require.NotEmpty(t, inputs)
	for _, input := range inputs {
		directory := filepath.Dir(input)
		t.Run(filepath.Base(directory), func(t *testing.T) {
			data, err := os.ReadFile(input)
			require.NoError(t, err)
			expected, err := os.ReadFile(filepath.Join(directory, "expected.txt"))
			require.NoError(t, err)
			_, err = settings.ParseNode(data)
			report := "ok"
			if err != nil {
				report = err.Error()
			}
			require.Equal(t, strings.TrimSpace(string(expected)), report)
		})
	}
}
