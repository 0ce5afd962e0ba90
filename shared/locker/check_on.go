//go:build rankcheck

package locker

import (
	"bytes"
	"fmt"
	"runtime"
	"sync"
)

const stackPrefix = 64 // bytes; enough for "goroutine N [", the start of a stack trace

var (
	heldMu sync.Mutex
	// held maps a goroutine id to the ranks of the mutexes it holds, in ascending order.
	held = map[string][]Rank{}
)

// goroutineID parses the id of the calling goroutine from its stack trace; the runtime has no
// API for it.
func goroutineID() string {
	buf := make([]byte, stackPrefix)
	buf = buf[:runtime.Stack(buf, false)]
	return string(bytes.Fields(buf)[1])
}

// checkLock records that the goroutine locks a mutex of the given rank. It panics if the rank is
// not higher than every rank that the goroutine holds.
func checkLock(rank Rank) {
	if rank == 0 {
		panic("locker: mutex without a rank; create it with locker.New")
	}
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := held[id]
	if len(ranks) > 0 && ranks[len(ranks)-1] >= rank {
		panic(fmt.Sprintf("locker: locked rank %d while holding ranks %v; lock mutexes in ascending rank", rank, ranks))
	}
	held[id] = append(ranks, rank)
}

// checkUnlock removes rank from the ranks that the goroutine holds.
func checkUnlock(rank Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := held[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] != rank {
			continue
		}
		ranks = append(ranks[:i], ranks[i+1:]...)
		break
	}
	held[id] = ranks
	if len(ranks) == 0 {
		delete(held, id)
	}
}
