// Package identifier defines a distinct type for each kind of id, so that the compiler
// rejects one kind of id where another is expected.
package identifier

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

const (
	randomBytes = 12 // 96 bits make a collision improbable over the lifetime of a cluster
	jobDigits   = 24 // length of the digest prefix used in a job id, in hexadecimal digits
)

type (
	// Workspace identifies a workspace, to which guarantees and limits are assigned.
	Workspace string
	// Job identifies a gang job.
	Job string
	// Task identifies one member of one attempt of a gang job.
	Task string
	// Request identifies one API call by a caller.
	Request string
	// Claim identifies the single attempt that is allowed to dispatch a request.
	Claim string
	// Transaction identifies a transaction of the table service.
	Transaction string
	// Key is an idempotency key chosen by a caller.
	Key string
	// Worker identifies a worker.
	Worker string
	// Rack identifies a rack of workers.
	Rack string
	// Zone identifies an availability zone.
	Zone string
	// Instance identifies an entry instance.
	Instance string
	// Target identifies a runner or a worker.
	Target string
	// Machine identifies a machine. Successive incarnations of a worker run on it.
	Machine string
	// Queue identifies a job queue.
	Queue string
	// Pool identifies a pool of workers that serve the same queues.
	Pool string
	// Label is a property of a worker that a task may require.
	Label string
	// Image identifies the program that tasks run.
	Image string
)

// NewRequest returns a random request id.
func NewRequest() Request { return Request("r-" + random()) }

// NewClaim returns a random claim id.
func NewClaim() Claim { return Claim("c-" + random()) }

// NewTransaction returns a random transaction id.
func NewTransaction() Transaction { return Transaction("x-" + random()) }

// DeriveJob derives a job id from the workspace and the idempotency key, so that a repeated
// submission yields the same job.
func DeriveJob(ws Workspace, key Key) Job {
	sum := Digest(fmt.Sprintf("%d:%s%s", len(ws), ws, key))
	return Job("j-" + sum[:jobDigits])
}

// MemberTask returns the task id of the member with the given index in an attempt of a job.
func MemberTask(job Job, attempt int32, member int) Task {
	return Task(fmt.Sprintf("%s.%d.%d", job, attempt, member))
}

// Digest returns the SHA-256 digest of s in hexadecimal.
func Digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// random returns random hexadecimal digits. It ignores the error of crypto/rand.Read, which
// never returns one: it crashes the process if the system cannot provide random data.
func random() string {
	buf := make([]byte, randomBytes)
	_, _ = rand.Read(buf)
	return hex.EncodeToString(buf)
}
