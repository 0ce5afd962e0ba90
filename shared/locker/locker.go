// Package locker provides the mutex of the shared tables. Each mutex has a rank; a
// goroutine takes mutexes in rising rank only. Built with the tag rankcheck (as the tests
// are), a mutex taken out of order panics; built without, it is a plain mutex.
package locker

import "sync"

// The lock order of the whole system, lowest first. docs/DESIGN.md explains it.
const (
	// RankConfig guards the copy of the shared table.
	RankConfig Rank = iota + 1
	// RankMembers guards the view of entry instances and leases.
	RankMembers
	// RankZone guards the accelerators and gangs of an availability zone.
	RankZone
	// RankPolicy guards the configuration that an instance follows.
	RankPolicy
	// RankAdmission guards the counts of requests in flight.
	RankAdmission
	// RankRunners guards the slots and health of runners.
	RankRunners
	// RankBudget guards retry budgets.
	RankBudget
	// RankStore guards the state of the store client.
	RankStore
	// RankPool guards the closing of a worker pool.
	RankPool
	// RankPlatform guards the tables of the platform stand-in.
	RankPlatform
)

type (
	// Rank is the place of a mutex in the lock order.
	Rank int

	// Mutex is a mutex with a rank.
	Mutex struct {
		mu sync.Mutex
		// rank is set once, before the first Lock.
		rank Rank
	}
)

// New returns a mutex of the given rank.
func New(rank Rank) Mutex { return Mutex{rank: rank} }

// Lock takes the mutex. Under rankcheck it panics when the goroutine already holds a
// mutex of the same or a higher rank.
func (mu *Mutex) Lock() {
	checkLock(mu.rank)
	mu.mu.Lock()
}

// Unlock releases the mutex.
func (mu *Mutex) Unlock() {
	mu.mu.Unlock()
	checkUnlock(mu.rank)
}
