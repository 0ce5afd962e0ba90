// Command stand3 plays the cases 11 to 15 of this review: it is the clients, the operator and the platform's store,
// and starts runners and instances of the project as processes of their own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// mostTime ends a play that hangs.
const mostTime = 112 * time.Second

// place is where a play finds the project's program, and where it writes.
type place struct{ program, dir, record string }

// cases return an empty text if the rule held, and what broke it otherwise.
var cases = map[string]func(pl place, trouble bool) string{
	"reclaim": reclaimCase,
	"rename":  renameCase,
	"once":    onceCase,
	"gang":    gangCase,
	"poison":  poisonCase,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runnerMain(os.Args[2:])
	}
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE PROGRAM FOLDER RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(2)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(2)
	}
	// All processes that a play has started end with this one.
	time.AfterFunc(mostTime, func() {
		fmt.Fprintln(os.Stderr, "the case could not run: it takes too long")
		os.Exit(2)
	})
	os.Exit(play(cases[os.Args[1]], place{program, os.Args[3], os.Args[4]}, os.Getenv("TROUBLE") != "0"))
}

func play(run func(pl place, trouble bool) string, pl place, trouble bool) (code int) {
	defer func() {
		if why := recover(); why != nil {
			if _, known := why.(cannotRun); !known {
				panic(why)
			}
			code = 2
		}
	}()
	broken := run(pl, trouble)
	if broken == "" {
		fmt.Println("held")
		return 0
	}
	fmt.Println("BROKEN:", broken)
	return 1
}
