//go:build rankcheck

package locker

import (
	"bytes"
	"fmt"
	"runtime"
	"sync"
)

const stackPrefix = 64 // bytes; enough for "goroutine N ["

var (
	heldMu sync.Mutex
	// held maps a goroutine to the ranks it holds, in rising order.
	held = map[string][]Rank{}
)

func goroutine() string {
	buf := make([]byte, stackPrefix)
	buf = buf[:runtime.Stack(buf, false)]
	return string(bytes.Fields(buf)[1])
}

func checkLock(rank Rank) {
	if rank == 0 {
		panic("locker: mutex without a rank; make it with locker.New")
	}
	id := goroutine()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := held[id]
	if len(ranks) > 0 && ranks[len(ranks)-1] >= rank {
		panic(fmt.Sprintf("locker: rank %d taken while holding %v; take mutexes in rising rank", rank, ranks))
	}
	held[id] = append(ranks, rank)
}

func checkUnlock(rank Rank) {
	id := goroutine()
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
