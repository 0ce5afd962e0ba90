// Package meter names the units and counters of the system as types of their own.
package meter

type (
	// Accelerators counts accelerators.
	Accelerators int32
	// Members counts the members of a gang.
	Members int32
	// Slots counts the requests a runner takes at one time.
	Slots int32
	// Connections counts connections to a runner.
	Connections int32
	// Bytes is a size in bytes.
	Bytes int64
	// Weight is the relative fair share of a workspace, at least 1.
	Weight int32
	// LeaseEpoch is the fencing token of a lease. It only rises.
	LeaseEpoch int64
	// TableVersion numbers the accepted states of the shared table. It only rises.
	TableVersion int64
	// MilliCores counts thousandths of a processor core.
	MilliCores int64
	// Mebibytes is a size in units of 1024 * 1024 bytes.
	Mebibytes int64
	// Percent is a share in hundredths.
	Percent int32
	// RunNumber numbers the starts of a task from 1; 0 means that it was never started.
	RunNumber int64
	// EndNumber numbers the ended runs of one life of a worker from 1.
	EndNumber int64
	// RowVersion numbers the states of one stored row; 0 means that the row is absent.
	RowVersion int64
)
