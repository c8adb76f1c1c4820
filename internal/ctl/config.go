package ctl

import (
	"fmt"
	"path/filepath"
	"strings"

	"milletmast/internal/agent"
	"milletmast/internal/operator"
)

// Config is the configuration file of milletctl.
type Config struct {
	TLS    agent.TLS     `toml:"tls"`
	Agents []AgentConfig `toml:"agent"`
}

// AgentConfig is the address of one agent.
type AgentConfig struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // host:port, or unix:PATH
}

// LoadConfig reads the configuration file of milletctl. Paths are relative to its directory. Errors name the file, the line
// and the field; unknown fields are errors.
func LoadConfig(file string) (*Config, error) {
	var c Config
	err := operator.Decode(file, &c, func(report func(field, text string)) { c.validate(filepath.Dir(file), report) })
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// validate makes paths absolute and calls report for each invalid field.
func (c *Config) validate(dir string, report func(field, text string)) {
	for _, p := range []*string{&c.TLS.CA, &c.TLS.Cert, &c.TLS.Key} {
		operator.ResolvePath(dir, p)
	}
	seen := map[string]bool{}
	for i := range c.Agents {
		a, at := &c.Agents[i], fmt.Sprintf("agent[%d]", i)
		if a.Name == "" || seen[a.Name] {
			report(at+".name", fmt.Sprintf("%q must not be empty and must be unique", a.Name))
		}
		if a.Address == "" {
			report(at+".address", "is missing")
		}
		seen[a.Name] = true
		if rest, ok := strings.CutPrefix(a.Address, "unix:"); ok {
			operator.ResolvePath(dir, &rest)
			a.Address = "unix:" + rest
		} else if c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == "" {
			report("tls", "ca, cert and key are needed for an agent that is not at unix:PATH")
		}
	}
	if len(c.Agents) == 0 {
		report("agent", "at least one agent is needed")
	}
}
