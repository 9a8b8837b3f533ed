// Command stand runs the script cases of the review: it starts the project's gateways as
// processes, with stand-ins for the platform's store, the engines and the clients, and
// judges one rule by what these see.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdicts of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(f *Fleet, trouble bool) (int, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand CASE ROOT FOLDER")
		return notRun
	}
	record, err := NewRecord(os.Args[3] + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer record.Close()
	f, err := NewFleet(os.Args[2], record)
	if err != nil {
		record.Say("the case could not run: %v", err)
		return notRun
	}
	defer f.Close()
	f.CloseOnSignal()
	verdict, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Say("the case could not run: %v", err)
		return notRun
	}
	return verdict
}
