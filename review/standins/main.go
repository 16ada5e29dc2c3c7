// Command standins runs one case of the review: stand-ins of the platform's store, of replicas and
// of clients, around real processes of the program.
package main

import (
	"fmt"
	"io"
	"os"
)

// cases return whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) (code int) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	var w *world
	defer func() {
		if w != nil {
			w.close()
		}
		if reason, ok := recover().(cannotRun); ok {
			fmt.Fprintln(os.Stderr, "the case could not run:", reason)
			code = 2
		}
	}()
	w = newWorld(io.Writer(file))
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption: %t", name, trouble)
	if cases[name](w, trouble) {
		w.note("RESULT: the rule was broken")
		fmt.Println(name + ": the rule was broken")
		return 1
	}
	w.note("RESULT: the rule held")
	fmt.Println(name + ": the rule held")
	return 0
}
