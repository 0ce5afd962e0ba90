// Package pool runs jobs on a fixed number of workers behind a bounded queue.
package pool

import (
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

var (
	// ErrFull means that the queue has no room; send again later.
	ErrFull = eris.New("the queue is full; send again after the stated time")
	// ErrClosed means that the pool takes no more work; send to another instance.
	ErrClosed = eris.New("the instance is stopping; send to another instance")
)

// Pool is a fixed set of workers and two bounded queues. Urgent work overtakes normal
// work that has not been taken by a worker.
type Pool struct {
	urgent  chan func()
	normal  chan func()
	done    chan struct{}
	workers sync.WaitGroup
	mu      locker.Mutex
	// closed is set once and never cleared.
	closed bool
}

// New starts workers goroutines behind two queues of length queue each.
func New(workers, queue int) *Pool {
	po := &Pool{
		urgent: make(chan func(), queue),
		normal: make(chan func(), queue),
		done:   make(chan struct{}),
		mu:     locker.New(locker.RankPool),
	}
	for range workers {
		po.workers.Go(po.work)
	}
	return po
}

// Submit queues fn. It returns ErrFull or ErrClosed without waiting.
func (po *Pool) Submit(urgent bool, fn func()) error {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed {
		return ErrClosed
	}
	queue := po.normal
	if urgent {
		queue = po.urgent
	}
	select {
	case queue <- fn:
		return nil
	default:
		return ErrFull
	}
}

// Close refuses new work, runs what is queued and waits for the workers.
func (po *Pool) Close() {
	po.mu.Lock()
	if !po.closed {
		po.closed = true
		close(po.done)
	}
	po.mu.Unlock()
	po.workers.Wait()
}

func (po *Pool) work() {
	for {
		fn := po.next()
		if fn == nil {
			return
		}
		fn()
	}
}

// next blocks for work, urgent first; nil means closed and empty.
func (po *Pool) next() func() {
	if fn := po.queued(); fn != nil {
		return fn
	}
	select {
	case fn := <-po.urgent:
		return fn
	case fn := <-po.normal:
		return fn
	case <-po.done:
		return po.queued()
	}
}

// queued takes what is queued without blocking, urgent first.
func (po *Pool) queued() func() {
	select {
	case fn := <-po.urgent:
		return fn
	default:
	}
	select {
	case fn := <-po.normal:
		return fn
	default:
		return nil
	}
}
