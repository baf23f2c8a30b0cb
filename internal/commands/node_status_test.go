package commands_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"oriolevalve/internal/commands"
	"oriolevalve/internal/golden"

	"github.com/stretchr/testify/require"
)

// Guards against a table that hides a target which gets no flows, and against a
// host that does not answer and is taken for one without targets.
func TestNodeStatus(t *testing.T) {
	golden.Run(t, "testdata/node_status/*/status.json", func(t *testing.T, answer []byte) string {
		require.True(t, json.Valid(answer))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/status" {
				_, _ = w.Write(answer)
			}
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		var out, failures strings.Builder
		code := commands.Run(context.Background(), []string{"oriolevalve", "node-status", "--host", address}, &out, &failures)
		require.Equal(t, commands.ExitOK, code, failures.String())
		code = commands.Run(context.Background(), []string{"oriolevalve", "node-status", "--host", "127.0.0.1:1", "--host", address}, &failures, &failures)
		require.Equal(t, commands.ExitError, code)
		require.Contains(t, failures.String(), "host 127.0.0.1:1")
		return out.String()
	})
}
