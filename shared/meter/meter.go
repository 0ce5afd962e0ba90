// Package meter defines a distinct type for each unit and counter, so that the compiler
// rejects one where another is expected.
package meter

type (
	// Accelerators counts accelerators.
	Accelerators int32
	// Members counts the members of a gang.
	Members int32
	// Slots counts the requests that a runner accepts concurrently.
	Slots int32
	// Connections counts connections to a runner.
	Connections int32
	// Bytes is a number of bytes.
	Bytes int64
	// Weight is the fair-share weight of a workspace; the minimum is 1.
	Weight int32
	// LeaseEpoch is the fencing token of a lease. It never decreases.
	LeaseEpoch int64
	// TableVersion is the version of the shared table. It increases with each accepted change.
	TableVersion int64
	// MilliCores is an amount of CPU in thousandths of a core.
	MilliCores int64
	// Mebibytes is an amount of memory in units of 1024 * 1024 bytes.
	Mebibytes int64
	// CoreSeconds is an amount of work, in which an accelerator counts as several cores.
	CoreSeconds int64
	// AcceleratorSeconds is a number of accelerators times the seconds for which they were kept.
	AcceleratorSeconds int64
	// Percent is a proportion in hundredths.
	Percent int32
	// RunNumber numbers the runs of a task, starting at 1; 0 means that it was never started.
	RunNumber int64
	// CompletionNumber numbers the completed runs of one incarnation of a worker, starting at 1.
	CompletionNumber int64
	// RowVersion is the version of a stored row; 0 means that the row does not exist.
	RowVersion int64
)
