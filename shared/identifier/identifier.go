// Package identifier names every id of the system as a type of its own, so that one
// kind of id cannot be passed for another.
package identifier

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

const (
	randomBytes = 12 // 96 bits make a collision improbable over the life of a cluster
	jobDigits   = 24 // hexadecimal digits kept of a job digest
)

type (
	// Workspace names a workspace, the owner of guarantees and limits.
	Workspace string
	// Job names one gang job.
	Job string
	// Task names one member of one attempt of a gang job.
	Task string
	// Request names one call of a caller.
	Request string
	// Claim names the one attempt that may dispatch a request.
	Claim string
	// Transaction names one transaction of the table service.
	Transaction string
	// Key is the idempotency key that a caller chose.
	Key string
	// Worker names a worker.
	Worker string
	// Rack names a rack of workers.
	Rack string
	// Zone names an availability zone.
	Zone string
	// Instance names an entry instance.
	Instance string
	// Target names a runner or a worker.
	Target string
	// Machine names a machine, on which one life of a worker follows another.
	Machine string
	// Queue names a queue of jobs.
	Queue string
	// Pool names a pool of workers that serve the same queues.
	Pool string
	// Label is a property of a worker that a task may require.
	Label string
)

// NewRequest returns a random request id.
func NewRequest() Request { return Request("r-" + random()) }

// NewClaim returns a random claim id.
func NewClaim() Claim { return Claim("c-" + random()) }

// NewTransaction returns a random transaction id.
func NewTransaction() Transaction { return Transaction("x-" + random()) }

// JobFor derives the id of a job from its workspace and idempotency key, so that a
// repeated submission names the same job.
func JobFor(ws Workspace, key Key) Job {
	sum := Digest(fmt.Sprintf("%d:%s%s", len(ws), ws, key))
	return Job("j-" + sum[:jobDigits])
}

// TaskFor names member number member of an attempt of a job.
func TaskFor(job Job, attempt int32, member int) Task {
	return Task(fmt.Sprintf("%s.%d.%d", job, attempt, member))
}

// Digest returns the SHA-256 digest of s in hexadecimal.
func Digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// random never fails: crypto/rand.Read ends the process when the system has no entropy.
func random() string {
	buf := make([]byte, randomBytes)
	_, _ = rand.Read(buf)
	return hex.EncodeToString(buf)
}
