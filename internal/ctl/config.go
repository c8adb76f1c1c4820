package ctl

import (
	"fmt"
	"path/filepath"
	"strings"

	"milletmast/internal/agent"
	"milletmast/internal/operator"
)

// Config is the content of the tool's file.
type Config struct {
	TLS    agent.TLS     `toml:"tls"`
	Agents []AgentConfig `toml:"agent"`
}

// AgentConfig is the address of one agent.
type AgentConfig struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // host:port, or unix:PATH
}

// LoadConfig reads the tool's file. Relative paths are of its directory. Errors name the file, the line and the field;
// unknown fields are errors.
func LoadConfig(file string) (*Config, error) {
	var c Config
	err := operator.Decode(file, &c, func(complain func(field, text string)) { c.validate(filepath.Dir(file), complain) })
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// validate makes paths absolute and reports each invalid field.
func (c *Config) validate(dir string, complain func(field, text string)) {
	for _, p := range []*string{&c.TLS.CA, &c.TLS.Cert, &c.TLS.Key} {
		operator.ResolvePath(dir, p)
	}
	seen := map[string]bool{}
	for i := range c.Agents {
		a, at := &c.Agents[i], fmt.Sprintf("agent[%d]", i)
		if a.Name == "" || seen[a.Name] {
			complain(at+".name", fmt.Sprintf("%q is empty or comes twice", a.Name))
		}
		if a.Address == "" {
			complain(at+".address", "is missing")
		}
		seen[a.Name] = true
		if rest, ok := strings.CutPrefix(a.Address, "unix:"); ok {
			operator.ResolvePath(dir, &rest)
			a.Address = "unix:" + rest
		} else if c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == "" {
			complain("tls", "ca, cert and key are needed for an agent that is not at unix:PATH")
		}
	}
	if len(c.Agents) == 0 {
		complain("agent", "there is none")
	}
}
