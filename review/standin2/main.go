// Command standin2 plays the cases of the second review: a platform, workers and clients that follow the
// users' pages, and nodes as processes. Run it in the repository's root with the name of a case and its
// folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each is in a file of its own.
var cases = map[string]func(w *World) (broken string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.log("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
	case broken != "":
		w.log("broken: %s", broken)
		fmt.Println("broken:", broken)
	default:
		w.log("held")
		fmt.Println("held")
	}
	w.Close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken != "":
		os.Exit(1)
	}
}
