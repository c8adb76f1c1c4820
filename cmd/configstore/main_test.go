package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"configstore": func() { os.Exit(run(os.Args[1:])) }})
}

func TestScripts(t *testing.T) { testscript.Run(t, testscript.Params{Dir: "testdata"}) }
