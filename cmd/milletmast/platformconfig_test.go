package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const platformConfig = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":["127.0.0.1:1"],
	"known":{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"z","state":"Ready"}]},
	"settings":{"stages":["a"],"zones":["z"],"classes":[{"name":"read","aim":500,"giveUp":1000,"effect":"read_like"}]}}`

// writePlatformConfig writes a configuration file and returns an environment lookup in which RELAY_CONFIG names it.
func writePlatformConfig(t *testing.T, text string) func(string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string {
		return map[string]string{"RELAY_CONFIG": path, "RELAY_LISTEN": "127.0.0.1:7000"}[name]
	}
}

func TestLoad(t *testing.T) {
	cfg, err := loadPlatformConfig(writePlatformConfig(t, platformConfig))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Name != "n3" || cfg.Listen != "127.0.0.1:8443" || cfg.Seed != 0x8c1f30d27a5be964 || cfg.Sockets != 1024 ||
		cfg.InitialList.Rev != 41 || len(cfg.InitialList.Targets) != 1 || cfg.Site.Settings.Classes[0].Name != "read" {
		t.Errorf("configuration %+v", cfg)
	}
	cfg, err = loadPlatformConfig(writePlatformConfig(t, strings.Replace(platformConfig, `"listen":"127.0.0.1:8443",`, "", 1)))
	if err != nil || cfg.Listen != "127.0.0.1:7000" {
		t.Errorf("listen %q, error %v, want the address in RELAY_LISTEN", cfg.Listen, err)
	}
}

// The error for an invalid configuration is one line that names the field.
func TestLoadNamesTheField(t *testing.T) {
	for field, edit := range map[string][2]string{
		"config.json":       {`{"name"`, `{name`},
		"discovery":         {`127.0.0.1:8500`, `nowhere`},
		"listen":            {`127.0.0.1:8443`, `8443`},
		"mgmt":              {`"seed"`, `"mgmt":"nowhere","seed"`},
		"seed":              {`8c1f30d27a5be964`, `often`},
		"limits.memory_mb":  {`"memory_mb":192`, `"memory_mb":0`},
		"limits.sockets":    {`"sockets":1024`, `"sockets":12`},
		"known: targets[0]": {`"state":"Ready"`, `"state":"Odd"`},
		"classes[0]":        {`read_like`, `maybe`},
	} {
		_, err := loadPlatformConfig(writePlatformConfig(t, strings.Replace(platformConfig, edit[0], edit[1], 1)))
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", field, err)
		}
	}
	if _, err := loadPlatformConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("RELAY_CONFIG not set: error %v", err)
	}
}
