package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a store that is called by many hosts for one target, by none, or always by the
// same host: of hosts that know each other, one of the target's data centre is the first.
func TestOneHostIsTheFirstForAName(t *testing.T) {
	f := newFleet(24, 3)
	f.run(10 * time.Second)
	firsts := map[string]int{}
	for name := range 200 {
		for _, dataCentre := range []string{f.order[0].DataCentre, "unknown"} {
			var first []string
			for _, h := range f.order {
				if h.members.First(fmt.Sprint("i-", name), dataCentre, f.now) {
					first = append(first, h.ID)
					require.True(t, h.DataCentre == dataCentre || dataCentre == "unknown")
				}
			}
			require.Len(t, first, 1)
			firsts[first[0]]++
		}
	}
	for _, h := range f.order {
		require.Less(t, firsts[h.ID], 100)
	}
}
