package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"oriolevalve/internal/golden"
	"oriolevalve/internal/gossip"

	"github.com/stretchr/testify/require"
)

// Guards against askers that wait for ever or all ask one host, and against a
// host that sends its collection to all of them at once.
func TestAdmission(t *testing.T) {
	golden.Run(t, "testdata/admission/*/input", func(t *testing.T, input []byte) string {
		var a gossip.Admission
		names := map[gossip.Decision]string{gossip.Send: "send", gossip.Redirect: "redirect"}
		return golden.Script(t, input, func(words []string, now time.Duration, out *strings.Builder) {
			enter := func(address string) {
				a.Enqueue(address, now, func(v gossip.Decision, redirect string) {
					fmt.Fprintln(out, strings.TrimRight(fmt.Sprint("  ", address, ": ", names[v], " ", redirect), " "))
				})
			}
			switch words[0] {
			case "ready":
				a.SetReady()
			case "enter":
				enter(words[1])
			case "fill":
				count, err := strconv.Atoi(words[1])
				require.NoError(t, err)
				for range count {
					a.Enqueue("x", now, func(gossip.Decision, string) {})
				}
			case "leave":
				a.Release(words[1], words[2] == "served", now)
			case "sent":
				size, err := strconv.Atoi(words[1])
				require.NoError(t, err)
				a.Sent(size)
			case "confirmed":
				size, err := strconv.Atoi(words[2])
				require.NoError(t, err)
				a.Confirm(words[1], size, now)
			case "at":
				a.Expire(now)
			}
		})
	})
}

// Guards against hosts that read from the store what others are about to send
// them, and against hosts that wait for others in vain.
func TestSources(t *testing.T) {
	golden.Run(t, "testdata/sources/*/input", func(t *testing.T, input []byte) string {
		s := gossip.NewSources(rand.New(rand.NewPCG(1, 2)))
		return golden.Script(t, input, func(words []string, now time.Duration, out *strings.Builder) {
			switch words[0] {
			case "offer":
				s.AddSource(words[1], now)
			case "promise":
				reading, err := strconv.Atoi(words[1])
				require.NoError(t, err)
				s.ReportProgress(reading, now)
			case "promised":
				fmt.Fprintln(out, "  ", s.RelayedProgress(now))
			case "expecting":
				fmt.Fprintln(out, "  ", s.Expecting(now))
			case "next":
				address, due := s.Next(now)
				fmt.Fprintln(out, "  ", address, due)
			case "done":
				redirect := ""
				if words[1] == "redirect" {
					redirect = words[2]
				}
				s.Done(words[1] == "ok", redirect, now)
			}
		})
	})
}
