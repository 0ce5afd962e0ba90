// Package locker provides the mutexes of the shared tables. Each mutex has a rank, and a
// goroutine must lock mutexes in ascending rank, which prevents deadlocks. With the build tag
// rankcheck, which the tests use, locking out of order panics; without it, ranks are not
// checked.
package locker

import "sync"

// The lock order of the whole system, lowest rank first. See docs/DESIGN.md.
const (
	// RankConfig guards this instance's copy of the shared table.
	RankConfig Rank = iota + 1
	// RankMembers guards the membership view: entry instances and their leases.
	RankMembers
	// RankZone guards the accelerators and gangs of an availability zone.
	RankZone
	// RankPolicy guards the configuration in force on an instance.
	RankPolicy
	// RankAdmission guards the counts of requests in flight.
	RankAdmission
	// RankRunners guards the slots and health of runners.
	RankRunners
	// RankBudget guards retry budgets.
	RankBudget
	// RankStore guards the state of the store client.
	RankStore
	// RankPool guards the closed flag of a worker pool.
	RankPool
	// RankPlatform guards the tables of the platform stand-in.
	RankPlatform
)

type (
	// Rank is the position of a mutex in the lock order.
	Rank int

	// Mutex is a mutex with a rank.
	Mutex struct {
		mu sync.Mutex
		// rank is set once, before the first Lock.
		rank Rank
	}
)

// New returns a mutex with the given rank.
func New(rank Rank) Mutex { return Mutex{rank: rank} }

// Lock locks mu. With the build tag rankcheck it panics if the goroutine already holds a mutex
// of the same or a higher rank.
func (mu *Mutex) Lock() {
	checkLock(mu.rank)
	mu.mu.Lock()
}

// Unlock unlocks mu.
func (mu *Mutex) Unlock() {
	mu.mu.Unlock()
	checkUnlock(mu.rank)
}
