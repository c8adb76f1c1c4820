package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by number. Each reports whether the rule was broken; trouble says whether the disruption is played.
var cases = map[string]func(rec *record, trouble bool) (broken bool, w *world){}

const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnplayed = 2
	maxTime      = 115 * time.Second
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the root of the repository; TROUBLE=0: without the disruption")
		os.Exit(exitUnplayed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// current is the world of the case, to be closed if the case has to end.
var current *world

func play(run func(*record, bool) (bool, *world), dir string) (code int) {
	trouble := os.Getenv("TROUBLE") != "0"
	defer func() {
		if p := recover(); p != nil {
			fmt.Println("the case could not run:", p)
			code = exitUnplayed
		}
		if current != nil {
			current.close()
		}
	}()
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-end:
		case <-time.After(maxTime):
		}
		if current != nil {
			current.close()
		}
		os.Exit(exitUnplayed)
	}()
	rec := newRecord(dir)
	rec.say("trouble: %v", trouble)
	broken, _ := run(rec, trouble)
	if broken {
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
