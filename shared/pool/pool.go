// Package pool runs functions on a bounded number of goroutines with bounded queues.
package pool

import (
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

var (
	// ErrFull means that the queue is full; the caller may retry later.
	ErrFull = eris.New("the queue is full; send the request again after the stated time")
	// ErrClosed means that the pool is closed; another instance may accept the request.
	ErrClosed = eris.New("the instance is shutting down; send the request to another instance")
)

// Pool is a bounded set of worker goroutines with two bounded queues. Workers are started as they
// are needed, and take functions from the urgent queue before those from the normal queue.
type Pool struct {
	urgent  chan func()
	normal  chan func()
	done    chan struct{}
	workers sync.WaitGroup
	mu      locker.Mutex
	// closed is guarded by mu, as are the fields below. It is set by Close and never reset.
	closed bool
	// started is the number of workers; it never exceeds limit.
	started, limit int
	// unfinished is the number of functions that were accepted and have not returned.
	unfinished int
}

// New returns a pool with at most the given number of worker goroutines and two queues of the
// given capacity each.
func New(workers, capacity int) *Pool {
	return &Pool{
		urgent: make(chan func(), capacity),
		normal: make(chan func(), capacity),
		done:   make(chan struct{}),
		mu:     locker.New(locker.RankPool),
		limit:  workers,
	}
}

// Submit enqueues fn without blocking. It returns ErrFull if the queue is full and ErrClosed if
// the pool is closed.
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
	default:
		return ErrFull
	}
	po.unfinished++
	if po.unfinished > po.started && po.started < po.limit {
		po.started++
		po.workers.Go(po.work)
	}
	return nil
}

// Unfinished returns how many functions were accepted and have not returned.
func (po *Pool) Unfinished() int {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.unfinished
}

// Close rejects new functions, runs the queued ones and waits for the workers to exit.
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
		po.mu.Lock()
		po.unfinished--
		po.mu.Unlock()
	}
}

// next blocks until a function is available and returns it, urgent ones first. It returns nil
// once the pool is closed and both queues are empty.
func (po *Pool) next() func() {
	if fn := po.tryNext(); fn != nil {
		return fn
	}
	select {
	case fn := <-po.urgent:
		return fn
	case fn := <-po.normal:
		return fn
	case <-po.done:
		return po.tryNext()
	}
}

// tryNext returns a queued function without blocking, urgent ones first, or nil if both
// queues are empty.
func (po *Pool) tryNext() func() {
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
