// Command rig2 plays the scripted cases of the second review: it starts the deployed programs as separate processes beside small stand-ins
// of the platform's store, of workers and of clients.
package main

import (
	"fmt"
	"os"
)

// cases are the scripted cases by name.
var cases = map[string]func(r *record, trouble bool) bool{
	"memory": playMemory, "headers": playHeaders, "crashloop": playCrashLoop, "gang": playGang, "burst": playBurst,
}

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: rig2 CASE RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("no such case")
	}
	r := newRecord(os.Args[2])
	broken := play(r, trouble)
	r.flush()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
