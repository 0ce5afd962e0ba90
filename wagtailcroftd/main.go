// Command wagtailcroftd is an entry instance of wagtailcroft.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "wagtailcroftd:", err)
		os.Exit(1)
	}
}
