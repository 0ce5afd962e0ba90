// Command soak plays random faults on real processes of wagtailcroftd and checks what workers and callers
// see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/soak/player"
)

func main() {
	app := kingpin.New("soak", "Random faults on real processes of wagtailcroftd, on the loopback interface. Exits 1 if a rule was broken.")
	app.HelpFlag.Short('h')
	program := app.Flag("program", "Path of wagtailcroftd.").Required().ExistingFile()
	dir := app.Flag("dir", "Folder for settings and logs.").Required().String()
	seed := app.Flag("seed", "First seed.").Default("1").Uint64()
	count := app.Flag("count", "Number of plays, with seeds that follow each other.").Default("1").Uint64()
	parallel := app.Flag("parallel", "Plays at the same time; each has 3 processes.").Default("2").Int()
	seconds := app.Flag("seconds", "Time for which jobs come and faults happen in a play.").Default("20").Int64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	seeds, broken := make(chan uint64), make(chan bool, *count)
	var plays sync.WaitGroup
	for range *parallel {
		plays.Go(func() {
			for se := range seeds {
				broken <- !playSeed(player.Options{
					Program: *program, Dir: filepath.Join(*dir, fmt.Sprint(se)), Seed: se, Length: clock.Millis(*seconds) * clock.Second,
				})
			}
		})
	}
	for i := range *count {
		seeds <- *seed + i
	}
	close(seeds)
	plays.Wait()
	close(broken)
	failed := 0
	for is := range broken {
		if is {
			failed++
		}
	}
	fmt.Printf("%d plays, %d broken\n", *count, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// playSeed plays one seed, prints the result, and reports whether all rules held.
func playSeed(op player.Options) bool {
	broken, err := player.Play(op)
	if err != nil {
		broken = append(broken, err.Error())
	}
	if len(broken) == 0 {
		fmt.Printf("seed %d: held\n", op.Seed)
		return true
	}
	for _, line := range broken {
		fmt.Printf("seed %d: BROKEN %s\n", op.Seed, line)
	}
	return false
}
