package main

import (
	"fmt"
	"os/exec"
	"strings"

	"milletmast/internal/fakeserver"
	"milletmast/internal/nginx"
)

// importedProgram returns the command of a build with an operator file that is imported from an nginx configuration of some locations.
func importedProgram(bin, dir string, locations int, servers []*fakeserver.Server) func(string) (*exec.Cmd, error) {
	return func(addr string) (*exec.Cmd, error) {
		var b strings.Builder
		b.WriteString("upstream u {\n")
		for _, s := range servers {
			fmt.Fprintf(&b, "server %s;\n", s.Addr())
		}
		fmt.Fprintf(&b, "}\nserver {\nlisten %s;\n", addr)
		for i := range locations {
			fmt.Fprintf(&b, "location /shop/%d/ { proxy_pass http://u; }\n", i)
		}
		b.WriteString("}\n")
		tree, err := nginx.Parse("generated", b.String())
		if err != nil {
			return nil, err
		}
		text, report := nginx.Import(&nginx.File{Directives: tree})
		if report.Totals[nginx.Dropped] > 0 {
			return nil, fmt.Errorf("the import of the nginx configuration dropped %d directives", report.Totals[nginx.Dropped])
		}
		path, err := writeFile(dir, fmt.Sprint(locations, ".toml"), text)
		return exec.Command(bin, "serve", "-f", path), err
	}
}
