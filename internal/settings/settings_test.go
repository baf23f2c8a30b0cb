package settings_test

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"

	"oriolevalve/internal/golden"
	"oriolevalve/internal/settings"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a faulty document being accepted, against a report that stops
// at the first problem, and against a report that quotes a secret.
func TestParseHostReportsEveryProblem(t *testing.T) {
	golden.Run(t, "testdata/*/input.json", func(t *testing.T, input []byte) string {
		_, err := settings.ParseHost(input, func(string) (string, bool) { return "", false })
		require.NotContains(t, report(err), "hidden-value")
		return report(err)
	})
}

// report returns the problems of a document as its expected output has them.
func report(err error) string {
	if err == nil {
		return "ok\n"
	}
	return err.Error() + "\n"
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
	golden.Run(t, "testdata/node/*/input.json", func(_ *testing.T, input []byte) string {
		_, err := settings.ParseNode(input)
		return report(err)
	})
}
