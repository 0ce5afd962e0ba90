package recorder

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

const (
	// compressAbove is the size of a value above which it is compressed. Most rows are smaller, and
	// compressing them would only cost processor time.
	compressAbove = 8 << 10
	// compressedMark is the first byte of a compressed value; that of any other is '{'.
	compressedMark = 'z'
	// maxInflated bounds a value that is decompressed.
	maxInflated = 16 << 20
	// taskBytes is what a task at work takes of a compressed row at most, with a checkpoint of 16
	// characters and a worker of its own.
	taskBytes meter.Bytes = 48
)

// Encode returns a row's value: JSON, compressed if it is large. It panics if that fails, which is
// impossible for the types of package ledger.
func Encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if len(text) <= compressAbove {
		return text
	}
	out := bytes.NewBuffer([]byte{compressedMark})
	wr, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	_, _ = wr.Write(text) // a buffer cannot fail
	_ = wr.Close()
	return out.Bytes()
}

// Decode parses a row's value.
func Decode[T any](row rowstore.Row) (T, error) {
	var value T
	text, err := inflate(row.Value)
	if err == nil {
		err = json.Unmarshal(text, &value)
	}
	if err != nil {
		return value, eris.Wrapf(err, "decode row %s of table %s; it may have been written by another program or version", row.Name, row.Table)
	}
	return value, nil
}

func inflate(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != compressedMark {
		return value, nil
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), maxInflated))
}

// EncodeJob returns the value of the row of a job that has runs left. A row above the limit is written
// without checkpoints, which cost work only if the leader changes; 0 means no limit. It returns false if
// the row is too large even so.
func EncodeJob(jo *workload.Job, limit meter.Bytes) ([]byte, bool) {
	pr := EncodeProgress(jo, 0)
	value := Encode(pr)
	if fits(value, limit) {
		return value, true
	}
	for i := range pr.Stages {
		for j := range pr.Stages[i].Tasks {
			pr.Stages[i].Tasks[j].Checkpoint = ""
		}
	}
	value = Encode(pr)
	return value, fits(value, limit)
}

// EncodeOutcome returns the value of the row of a job of which only the outcome is kept.
func EncodeOutcome(jo *workload.Job) []byte {
	return Encode(ledger.Progress{State: ledger.ProgressState(jo.State.String()), Workspace: jo.Workspace, Reason: jo.Reason, Occurrences: jo.Due, Open: []int{}})
}

func fits(value []byte, limit meter.Bytes) bool {
	return limit == 0 || meter.Bytes(len(value)) <= limit
}

// CheckSize checks that the rows of a job fit under the limit of the store, also when all tasks of an
// occurrence are at work. Errors are of the kind BadBody.
func CheckSize(jo *workload.Job, limit meter.Bytes) error {
	if size := meter.Bytes(len(Encode(EncodeSubmission(jo)))); limit > 0 && size > limit {
		return problem.New(problem.BadBody, "the job takes %d bytes, a row of the store at most %d; submit a shorter spec or fewer steps", size, limit)
	}
	tasks := 0
	for i := range jo.Steps {
		tasks += jo.Steps[i].Count
	}
	if most := int(limit / taskBytes); limit > 0 && tasks > most {
		return problem.New(problem.BadBody, "the job has %d tasks, a row of the store holds at most %d of them at work; submit several jobs", tasks, most)
	}
	return nil
}
