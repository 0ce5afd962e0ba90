package problem

import "slices"

// The kinds of error. Their names are part of the API and never change.
const (
	BadSettings       Kind = "badSettings"
	BadBody           Kind = "badBody"
	BodyTooLarge      Kind = "bodyTooLarge"
	BadToken          Kind = "badToken"
	NotFound          Kind = "notFound"
	KeyReused         Kind = "keyReused"
	UrgentNotAllowed  Kind = "urgentNotAllowed"
	TooManyRequests   Kind = "tooManyRequests"
	TooManyJobs       Kind = "tooManyJobs"
	QueueFull         Kind = "queueFull"
	DeadlineTooShort  Kind = "deadlineTooShort"
	NoRunner          Kind = "noRunner"
	RunnerFailed      Kind = "runnerFailed"
	OutcomeUnknown    Kind = "outcomeUnknown"
	AlreadyRefused    Kind = "alreadyRefused"
	StoreUnavailable  Kind = "storeUnavailable"
	Conflict          Kind = "conflict"
	Fenced            Kind = "fenced"
	StaleRow          Kind = "staleRow"
	BadRow            Kind = "badRow"
	GuaranteeTooLarge Kind = "guaranteeTooLarge"
	ImpossibleJob     Kind = "impossibleJob"
	UnknownJob        Kind = "unknownJob"
	JobNotEnded       Kind = "jobNotEnded"
	JobCancelled      Kind = "jobCancelled"
	JobFailed         Kind = "jobFailed"
	Unconfirmed       Kind = "unconfirmed"
	Stopping          Kind = "stopping"
	PeerUnavailable   Kind = "peerUnavailable"
	KeptByPlatform    Kind = "keptByPlatform"
	Internal          Kind = "internal"
)

// Remedies that several kinds share.
const (
	remedyTryLater     = "try again after the stated time"
	remedyCheckRequest = "correct the request and send it again"
)

type (
	// Kind names a kind of error.
	Kind string

	kindFacts struct {
		title   string
		remedy  string
		outcome Outcome
	}
)

var kinds = map[Kind]kindFacts{
	BadSettings:       {"The settings are not valid", "correct the file and run: wagtailcroftd check-settings FILE", NoOutcome},
	BadBody:           {"The body is not valid", remedyCheckRequest, NotRun},
	BodyTooLarge:      {"The body is too large", "send a smaller body", NotRun},
	BadToken:          {"The bearer token is not known", "send a token that is bound to a workspace; operators bind one with: wagtailcroft table set", NotRun},
	NotFound:          {"There is no such thing", "check the name; a workspace sees its own work only", NoOutcome},
	KeyReused:         {"The idempotency key was used with another body", "send the new body with a new key", NoOutcome},
	UrgentNotAllowed:  {"The workspace may not send urgent work", "send it as normal, or have an operator allow it with: wagtailcroft table set", NotRun},
	TooManyRequests:   {"The workspace has too many requests in flight", remedyTryLater, NotRun},
	TooManyJobs:       {"The workspace has too many jobs waiting", "cancel some, or try again once some have ended", NotRun},
	QueueFull:         {"The queue of the entry instance is full", remedyTryLater, NotRun},
	DeadlineTooShort:  {"The answer could not come in time", "send it again with a longer timeoutMillis", NotRun},
	NoRunner:          {"No runner can take the request", remedyTryLater, NotRun},
	RunnerFailed:      {"The runner started the work and failed", "look at the payload; send it again with a new key", Failed},
	OutcomeUnknown:    {"It is not known whether the work was run", "send the same key again to learn the truth once it is known", Unknown},
	AlreadyRefused:    {"The key was answered with not run, and stays so", "send it again with a new key", NotRun},
	StoreUnavailable:  {"The platform's table service cannot be reached", remedyTryLater, NoOutcome},
	Conflict:          {"Another change came first", "read the row again and repeat the change", NoOutcome},
	Fenced:            {"The lease has passed to another holder", "nothing; the new holder goes on", NoOutcome},
	StaleRow:          {"The row has changed since it was read", "look at the changes, then repeat the edit: wagtailcroft table get, then wagtailcroft table set", NoOutcome},
	BadRow:            {"The row is not valid", "correct the cell that is named and set the row again", NoOutcome},
	GuaranteeTooLarge: {"The guarantees cannot all be honoured at once", "lower a guarantee of this row or of another, or add workers; try it first with: wagtailcroft table set --dry-run", NoOutcome},
	ImpossibleJob:     {"The job can never run", "submit a smaller shape, or one with a looser adjacency", NotRun},
	UnknownJob:        {"There is no such job", "check the id; ended jobs are kept for a limited time", NoOutcome},
	JobNotEnded:       {"The job has not ended", "wait for it: get the job with waitMillis", NoOutcome},
	JobCancelled:      {"The job was cancelled", "submit it again with a new key", NoOutcome},
	JobFailed:         {"The job failed after it was started", "look at the reason; submit it again with a new key", Failed},
	Unconfirmed:       {"This instance cannot confirm that its table is the newest", "send to another instance, or try again after the stated time", NotRun},
	Stopping:          {"The instance is stopping", "send to another instance", NotRun},
	PeerUnavailable:   {"The instance that knows cannot be reached", remedyTryLater, NoOutcome},
	KeptByPlatform:    {"The platform keeps this", "write the configuration to the platform's store; see docs/operators/step-jobs.md", NoOutcome},
	Internal:          {"Something went wrong inside", "report it with the request id and the log lines around it", NoOutcome},
}

// Title is the kind's short description.
func (ki Kind) Title() string { return kinds[ki].title }

// Remedy tells the reader what to do next.
func (ki Kind) Remedy() string { return kinds[ki].remedy }

// Kinds lists every kind in the order of its name.
func Kinds() []Kind {
	all := make([]Kind, 0, len(kinds))
	for ki := range kinds {
		all = append(all, ki)
	}
	slices.Sort(all)
	return all
}
