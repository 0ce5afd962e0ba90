package problem

import "slices"

// The kinds of errors, whose names are part of the API and must not change, and the remedies that
// several kinds share.
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
	Busy              Kind = "busy"
	PeerUnavailable   Kind = "peerUnavailable"
	KeptByPlatform    Kind = "keptByPlatform"
	Internal          Kind = "internal"

	remedyTryLater     = "try again after the stated time"
	remedyCheckRequest = "correct the request and send it again"
)

var kinds = map[Kind]kindInfo{
	BadSettings:       {"The settings are invalid", "correct the file and run: wagtailcroftd check-settings FILE", NoOutcome},
	BadBody:           {"The request body is invalid", remedyCheckRequest, NotRun},
	BodyTooLarge:      {"The request body is too large", "send a smaller body", NotRun},
	BadToken:          {"The bearer token is unknown", "send a token that belongs to a workspace; operators assign one with: wagtailcroft table set", NotRun},
	NotFound:          {"Not found", "check the name; a workspace can access only its own requests and jobs", NoOutcome},
	KeyReused:         {"The idempotency key was already used with a different body", "send the new body with a new key", NoOutcome},
	UrgentNotAllowed:  {"The workspace is not allowed to send urgent work", "send it with class normal, or ask an operator to allow urgent work with: wagtailcroft table set", NotRun},
	TooManyRequests:   {"The workspace has too many requests in flight", remedyTryLater, NotRun},
	TooManyJobs:       {"The workspace has too many queued jobs", "cancel some, or try again after some have ended", NotRun},
	QueueFull:         {"The queue of the entry instance is full", remedyTryLater, NotRun},
	DeadlineTooShort:  {"The deadline was too short to serve the request", "send it again with a longer timeoutMillis", NotRun},
	NoRunner:          {"No runner is available for the request", remedyTryLater, NotRun},
	RunnerFailed:      {"The request failed after a runner had started it", "check the payload, then send the request again with a new key", Failed},
	OutcomeUnknown:    {"It is unknown whether the request was executed", "send the request again with the same key to get its final outcome once that is known", Unknown},
	AlreadyRefused:    {"A request with this idempotency key was already refused", "send the request again with a new key; the refusal of this key is final", NotRun},
	StoreUnavailable:  {"The platform's table service is unavailable", remedyTryLater, NoOutcome},
	Conflict:          {"A concurrent change was applied first", "read the row again and repeat the change", NoOutcome},
	Fenced:            {"The lease now belongs to another holder", "no action is needed; the new holder continues the work", NoOutcome},
	StaleRow:          {"The row has changed since it was read", "look at the changes, then repeat the edit: wagtailcroft table get, then wagtailcroft table set", NoOutcome},
	BadRow:            {"The row is invalid", "correct the named cell and set the row again", NoOutcome},
	GuaranteeTooLarge: {"The guarantees cannot all be honoured at once", "lower a guarantee of this row or of another, or add workers; try it first with: wagtailcroft table set --dry-run", NoOutcome},
	ImpossibleJob:     {"The job can never run", "submit a smaller shape, or one with a looser adjacency", NotRun},
	UnknownJob:        {"The job does not exist", "check the id; ended jobs are kept for a limited time", NoOutcome},
	JobNotEnded:       {"The job has not ended", "wait until it ends: get the job with waitMillis", NoOutcome},
	JobCancelled:      {"The job was cancelled", "submit the job again with a new key", NoOutcome},
	JobFailed:         {"The job failed after it was started", "check the reason, then submit the job again with a new key", Failed},
	Unconfirmed:       {"This instance cannot confirm that its copy of the table is current", "send the request to another instance, or try again after the stated time", NotRun},
	Stopping:          {"The instance is shutting down", "send the request to another instance", NotRun},
	Busy:              {"This instance is busy with the requests of others", "send the request to another instance, or try again after the stated time", NotRun},
	PeerUnavailable:   {"The instance that has this information cannot be reached", remedyTryLater, NoOutcome},
	KeptByPlatform:    {"This is managed by the platform", "write the configuration to the platform's store; see docs/operators/step-jobs.md", NoOutcome},
	Internal:          {"Internal error", "report it with the request id and the log lines from around that time", NoOutcome},
}

type (
	// Kind is the name of a kind of error.
	Kind string

	kindInfo struct {
		title   string
		remedy  string
		outcome Outcome
	}
)

// Title returns a short description of the kind.
func (ki Kind) Title() string { return kinds[ki].title }

// Remedy returns an instruction that tells the user what to do next.
func (ki Kind) Remedy() string { return kinds[ki].remedy }

// Kinds returns all kinds, sorted by name.
func Kinds() []Kind {
	all := make([]Kind, 0, len(kinds))
	for ki := range kinds {
		all = append(all, ki)
	}
	slices.Sort(all)
	return all
}
