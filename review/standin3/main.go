// Command standin3 plays the scripts of review/11 and the folders after it: a small deployment with
// stand-ins of its clients, workers and platform, and the system's nodes as processes of their own.
package main

import (
	"fmt"
	"os"
)

// play is a case. It reports whether its rule was broken.
type play func(log *record, trouble bool) (broken bool, err error)

var plays = map[string]play{"flap": playFlap, "quota": playQuota, "pending": playPending, "memory": playMemory, "moved": playMoved}

func main() { os.Exit(run1(os.Args[1:])) }

// run1 plays a case: 1 means that the rule was broken, 0 that it held, 2 that the case couldn't run.
func run1(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Println("usage: standin3 CASE RECORD")
		return 2
	}
	log, err := newRecord(args[1])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = log.file.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := plays[args[0]](log, trouble)
	switch {
	case err != nil:
		log.printf("the case couldn't run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		log.printf("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	log.printf("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
