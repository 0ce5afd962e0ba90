package participant

import (
	"fmt"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

// largestFleet is the number of instances of the largest fleet.
const largestFleet = 301

// assertTakesPeers checks that other instances behind one address all get a connection.
func assertTakesPeers(t *testing.T, connections, instances int) {
	t.Helper()
	sh := shedder.New(shedder.Options{Connections: connections, Memory: 1 << 20}, listeners(connections))
	taken := 0
	for range instances {
		if _, is, _ := sh.Open(PeerListener, "10.0.0.1", 0); is {
			taken++
		}
	}
	asserter.Equal(t, taken, instances)
}

func TestPeersFromOneAddress(t *testing.T) {
	for _, connections := range []int{768, 1300} {
		t.Run(fmt.Sprintf("with %d connections the largest fleet may share an address", connections), func(t *testing.T) {
			assertTakesPeers(t, connections, largestFleet)
		})
	}
	t.Run("with few connections, as many as the listener takes", func(t *testing.T) {
		assertTakesPeers(t, 66, 49)
	})
}
