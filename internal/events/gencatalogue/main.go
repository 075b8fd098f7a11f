// Command gencatalogue writes docs/events.md from the events package.
package main

import (
	"fmt"
	"os"

	"bamboofork/internal/events"
)

func main() {
	if err := os.WriteFile("docs/events.md", []byte(events.Catalogue()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
