package workload

import (
	"strconv"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// keyParts is the number of dot-separated fields in a task name.
const keyParts = 4

// ParseTaskKey parses a task name in the format of TaskKey.String. It reports false if the
// name is malformed.
func ParseTaskKey(name string) (TaskKey, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != keyParts {
		return TaskKey{}, false
	}
	occurrence, err1 := strconv.Atoi(parts[1])
	step, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	if err1 != nil || err2 != nil || err3 != nil {
		return TaskKey{}, false
	}
	return TaskKey{Job: identifier.Job(parts[0]), Occurrence: occurrence, Step: step, Index: index}, true
}
