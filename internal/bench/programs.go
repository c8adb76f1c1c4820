package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"milletmast/internal/fakeserver"
)

// writeFile writes a file of a folder, and returns its path.
func writeFile(dir, name, text string) (string, error) {
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// platformProgram returns the command of a build in the platform's mode, with a known endpoint list and no reachable discovery.
func platformProgram(bin, dir string, servers []*fakeserver.Server) func(string) (*exec.Cmd, error) {
	return func(addr string) (*exec.Cmd, error) {
		var targets []string
		for i, s := range servers {
			targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":%q,"az":"z","state":"Ready"}`, i, s.Addr()))
		}
		path, err := writeFile(dir, "platform.json", fmt.Sprintf(`{"name":"m","listen":%q,"discovery":"127.0.0.1:1","seed":"1",
			"limits":{"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[%s]},
			"settings":{"stages":["a"],"zones":["z"],"membershipMode":"on_request","limits":{"maxAttempts":4,"cancel":true},
			"safety":{"askEvery":1000000},"classes":[{"name":"read","aim":500,"giveUp":2000,"effect":"read_like"}]}}`,
			addr, strings.Join(targets, ",")))
		cmd := exec.Command(bin)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
		return cmd, err
	}
}

// operatorProgram returns the command of a build with an operator file of two pools of two servers.
func operatorProgram(bin, dir, name, extraConfig string, servers []*fakeserver.Server) func(string) (*exec.Cmd, error) {
	return func(addr string) (*exec.Cmd, error) {
		text := extraConfig + fmt.Sprintf("[[listener]]\nname = \"in\"\naddress = %q\n", addr)
		for i, name := range []string{"a", "b"} {
			text += fmt.Sprintf("[[pool]]\nname = %q\nleaf = true\n[[pool.class]]\n"+
				"name = \"read\"\naim = \"500ms\"\ngive_up = \"2s\"\neffect = \"safe\"\n", name)
			for _, s := range servers[2*i : 2*i+2] {
				text += fmt.Sprintf("[[pool.server]]\naddress = %q\n", s.Addr())
			}
			text += fmt.Sprintf("[[route]]\nname = %q\nprefix = \"/%s\"\npool = %q\nclass = \"read\"\n", name, name, name)
		}
		path, err := writeFile(dir, name+".toml", text)
		return exec.Command(bin, "serve", "-f", path), err
	}
}

// proxyProgram returns the command that runs this program as a reverse proxy of the standard library over the same pools.
func proxyProgram(self string, servers []*fakeserver.Server) func(string) (*exec.Cmd, error) {
	return func(addr string) (*exec.Cmd, error) {
		args := []string{"proxy", addr}
		for _, s := range servers {
			args = append(args, s.Addr())
		}
		return exec.Command(self, args...), nil
	}
}

// runReverseProxy runs the reverse proxy of proxyProgram. Its first argument is its address, the others are two servers for each of two
// pools.
func runReverseProxy(args []string) error {
	if len(args) != 5 {
		return fmt.Errorf("proxy needs its address and four servers: %d arguments are given", len(args))
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4 * loadConns}
	mux := http.NewServeMux()
	for i, prefix := range []string{"/a/", "/b/"} {
		pool := args[1+2*i : 3+2*i]
		mux.Handle(prefix, &httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: pool[rand.IntN(len(pool))]})
			r.SetXForwarded()
		}})
	}
	server := &http.Server{Addr: args[0], Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return server.ListenAndServe()
}
