package shedder_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/seeder"
)

const (
	callers shedder.Listener = "callers"
	peers   shedder.Listener = "peers"
)

func newShedder() *shedder.Shedder {
	return shedder.New(shedder.Options{Connections: 4, Memory: 1000, BodyTimeout: 10 * clock.Second}, map[shedder.Listener]shedder.Limits{
		callers: {Connections: 3}, peers: {Connections: 3, PerAddress: 2, KeepsQuiet: true},
	})
}

// open opens a connection that must be taken without closing another one.
func open(t *testing.T, sh *shedder.Shedder, li shedder.Listener, now clock.Millis) shedder.Conn {
	t.Helper()
	co, taken, victims := sh.Open(li, "a", now)
	asserter.Equal(t, taken, true)
	asserter.Equal(t, len(victims), 0)
	return co
}

// send makes a connection send the first bytes of a body.
func send(sh *shedder.Shedder, co shedder.Conn, received int, held meter.Bytes, now clock.Millis) []shedder.Victim {
	sh.Enter(co, shedder.Body, now)
	return sh.Progress(co, received, held, now)
}

func assertVictim(t *testing.T, victims []shedder.Victim, co shedder.Conn, re shedder.Reason) {
	t.Helper()
	asserter.Equal(t, len(victims), 1)
	asserter.Equal(t, victims[0].Conn, co)
	asserter.Equal(t, victims[0].Reason, re)
}

func TestMain(m *testing.M) { seeder.Main(m) }

func TestConnections(t *testing.T) {
	t.Run("beyond the limit, the connection that has sent least for longest is closed for a new one", func(t *testing.T) {
		sh := newShedder()
		fast, slow, served := open(t, sh, callers, 0), open(t, sh, callers, 0), open(t, sh, callers, 0)
		send(sh, fast, 40_000, 10, 0)
		send(sh, slow, 40_000, 10, 0)
		sh.Enter(served, shedder.Serving, 0)
		sh.Progress(fast, 40_000, 10, 1000)
		sh.Progress(slow, 4, 10, 1000)
		_, taken, victims := sh.Open(callers, "b", 1200)
		asserter.Equal(t, taken, true)
		assertVictim(t, victims, slow, shedder.TooManyConnections)
	})
	t.Run("sending fast earns no right to stop", func(t *testing.T) {
		sh := newShedder()
		stopped, other := open(t, sh, callers, 0), open(t, sh, callers, 0)
		send(sh, stopped, 1<<20, 10, 0)
		open(t, sh, callers, 2000)
		sh.Enter(other, shedder.Idle, 0)
		_, _, victims := sh.Open(callers, "b", 2000)
		assertVictim(t, victims, stopped, shedder.TooManyConnections)
	})
	t.Run("a flood of new connections closes none that has just been opened", func(t *testing.T) {
		sh := newShedder()
		for range 3 {
			open(t, sh, callers, 0)
		}
		_, taken, victims := sh.Open(callers, "b", 100)
		asserter.Equal(t, taken, false)
		asserter.Equal(t, len(victims), 0)
	})
	t.Run("a connection of a peer that waits quietly is not closed for a client", func(t *testing.T) {
		sh := newShedder()
		for range 2 {
			open(t, sh, peers, 0)
		}
		first := open(t, sh, callers, 0)
		open(t, sh, callers, 0)
		_, taken, victims := sh.Open(callers, "b", 10_000)
		asserter.Equal(t, taken, true)
		assertVictim(t, victims, first, shedder.TooManyConnections)
	})
	t.Run("one address cannot take all connections of the peers", func(t *testing.T) {
		sh := newShedder()
		open(t, sh, peers, 0)
		open(t, sh, peers, 0)
		_, taken, _ := sh.Open(peers, "a", 0)
		asserter.Equal(t, taken, false)
		_, taken, _ = sh.Open(peers, "b", 0)
		asserter.Equal(t, taken, true)
	})
}

func TestMemory(t *testing.T) {
	t.Run("beyond the budget, the unfinished request that has sent least for longest is closed", func(t *testing.T) {
		sh := newShedder()
		stalled, sending := open(t, sh, callers, 0), open(t, sh, callers, 0)
		send(sh, stalled, 600, 600, 0)
		assertVictim(t, send(sh, sending, 600, 600, 1000), stalled, shedder.TooMuchMemory)
		asserter.Equal(t, sh.Held(), 600)
	})
	t.Run("a request that holds nothing is not closed for memory", func(t *testing.T) {
		sh := newShedder()
		small, first, second := open(t, sh, callers, 0), open(t, sh, callers, 0), open(t, sh, callers, 0)
		send(sh, small, 10, 0, 0)
		send(sh, first, 600, 600, 500)
		assertVictim(t, send(sh, second, 600, 600, 1000), first, shedder.TooMuchMemory)
	})
	t.Run("a single request is served, whatever it holds", func(t *testing.T) {
		sh := newShedder()
		asserter.Equal(t, len(send(sh, open(t, sh, callers, 0), 5000, 5000, 0)), 0)
	})
	t.Run("a complete request is not closed", func(t *testing.T) {
		sh := newShedder()
		complete, next := open(t, sh, callers, 0), open(t, sh, callers, 0)
		send(sh, complete, 900, 900, 0)
		sh.Enter(complete, shedder.Serving, 0)
		assertVictim(t, send(sh, next, 200, 200, 9000), next, shedder.TooMuchMemory)
	})
}

func TestOverdue(t *testing.T) {
	t.Run("a head that is not complete in time is closed, however it progresses", func(t *testing.T) {
		sh := newShedder()
		co := open(t, sh, callers, 0)
		sh.Enter(co, shedder.Head, 1000)
		sh.Progress(co, 100, 0, 3900)
		asserter.Equal(t, len(sh.Overdue(3*clock.Second, 4000)), 0)
		assertVictim(t, sh.Overdue(3*clock.Second, 4001), co, shedder.SlowHead)
	})
	t.Run("a body that drips is closed", func(t *testing.T) {
		sh := newShedder()
		co := open(t, sh, callers, 0)
		send(sh, co, 1, 0, 0)
		for now := clock.Millis(0); now < 10_000; now += 100 {
			sh.Progress(co, 1, 0, now)
		}
		assertVictim(t, sh.Overdue(3*clock.Second, 10_001), co, shedder.SlowBody)
	})
	t.Run("silent and idle connections are never overdue", func(t *testing.T) {
		sh := newShedder()
		sh.Enter(open(t, sh, callers, 0), shedder.Idle, 0)
		open(t, sh, callers, 0)
		asserter.Equal(t, len(sh.Overdue(3*clock.Second, clock.Hour)), 0)
	})
	t.Run("nothing is overdue after a pause of the process", func(t *testing.T) {
		sh := newShedder()
		sh.Enter(open(t, sh, callers, 0), shedder.Head, 0)
		sh.Forgive(clock.Minute)
		asserter.Equal(t, len(sh.Overdue(3*clock.Second, clock.Minute)), 0)
	})
}

func TestRandomCrowdAlwaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sh := newShedder()
		var open []shedder.Conn
		now := clock.Millis(0)
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(rt, "pause"))
			li := rapid.SampledFrom([]shedder.Listener{callers, peers}).Draw(rt, "listener")
			if co, taken, _ := sh.Open(li, "a", now); taken {
				open = append(open, co)
			}
			if len(open) == 0 {
				continue
			}
			co := rapid.SampledFrom(open).Draw(rt, "connection")
			sh.Enter(co, shedder.Phase(rapid.IntRange(int(shedder.Silent), int(shedder.Body)).Draw(rt, "phase")), now)
			sh.Progress(co, rapid.IntRange(0, 500).Draw(rt, "received"), meter.Bytes(rapid.IntRange(0, 500).Draw(rt, "held")), now)
			if rapid.Bool().Draw(rt, "sweep") {
				sh.Overdue(3*clock.Second, now)
			}
			if sh.Held() > 1000 || sh.Held() < 0 {
				rt.Fatalf("%d bytes are held, of 1000", sh.Held())
			}
		}
		for _, co := range open {
			sh.Close(co)
		}
		asserter.Equal(rt, sh.Held(), 0)
	})
}

func TestHeadScanner(t *testing.T) {
	for name, text := range map[string]string{
		"a head":                          "GET / HTTP/1.1\r\nA: b\r\n\r\n",
		"a head with bare line feeds":     "GET / HTTP/1.1\nA: b\n\n",
		"a head after empty lines":        "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"a head whose lines end in parts": "GET / HTTP/1.1\r\nA: b\r\nC: d\r\n\r\n",
	} {
		t.Run(name+" ends with its empty line, however it is cut", func(t *testing.T) {
			for cut := 1; cut < len(text); cut++ {
				var hs shedder.HeadScanner
				asserter.Equal(t, hs.Scan([]byte(text[:cut])), false)
				asserter.Equal(t, hs.Scan([]byte(text[cut:]+"the body\n")), true)
				asserter.Equal(t, hs.Bytes, len(text))
			}
		})
	}
	t.Run("empty lines end no head", func(t *testing.T) {
		var hs shedder.HeadScanner
		asserter.Equal(t, hs.Scan([]byte("\r\n\r\n\r\n")), false)
		asserter.Equal(t, hs.Bytes, 6)
	})
}
