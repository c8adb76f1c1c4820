// The driver of the review's scripts: the platform, the clients, the endpoints and the operator of a small deployment.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	name := flag.String("case", "", "the case to run")
	path := flag.String("record", "", "where to write the record")
	flag.Parse()
	cases := map[string]func(*record, string, bool) int{"times": runTimes, "uploads": runUploads, "caller": runCaller, "read": runRead, "graces": runGraces}
	run, ok := cases[*name]
	if !ok {
		os.Exit(cannotRun)
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	root, err := filepath.Abs(".")
	if err != nil {
		os.Exit(cannotRun)
	}
	rec := &record{file: file, start: time.Now()}
	ended := make(chan int, 1)
	go func() { ended <- run(rec, root, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := cannotRun
	select {
	case code = <-ended:
	case <-stop: // the processes end with this one
	case <-time.After(115 * time.Second):
	}
	rec.add("exit %d", code)
	file.Close()
	os.Exit(code)
}
