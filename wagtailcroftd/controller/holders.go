package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// maxHolders is how many workspaces are named as users of a pool.
const maxHolders = 3

// describeHolders names the workspaces that use most accelerators of a pool, and what is kept free for gangs.
func (te *term) describeHolders(pool []WorkerView) string {
	use := map[identifier.Workspace]meter.Accelerators{}
	for _, wo := range pool {
		for _, key := range wo.Tasks {
			if en := te.jobs[key.Job]; en != nil {
				if st, _ := en.job.Task(key); st != nil {
					use[en.job.Workspace] += en.job.StepOf(st).Request.Accelerators
				}
			}
		}
	}
	names := slices.SortedFunc(maps.Keys(use), func(a, b identifier.Workspace) int {
		return cmp.Or(cmp.Compare(use[b], use[a]), cmp.Compare(a, b))
	})
	parts := make([]string, 0, maxHolders)
	for _, name := range names[:min(len(names), maxHolders)] {
		if use[name] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", name, use[name]))
		}
	}
	text := ""
	if len(parts) > 0 {
		text = "; most are used by " + strings.Join(parts, ", ")
	}
	if kept, _ := te.losses.Held(); kept > 0 {
		text += fmt.Sprintf("; %d are kept free for gangs that do not fit yet", kept)
	}
	return text
}
