package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"milletmast/internal/sidecar"
	"milletmast/internal/wire"
)

// configVariable is the environment variable with the path of the platform's configuration file.
const configVariable = "RELAY_CONFIG"

// platformFile is the platform's configuration file. Unknown keys are ignored.
type platformFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operators string `json:"mgmt"` // address of the admin API
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// loadPlatformConfig reads the file that RELAY_CONFIG names. RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY and RELAY_MGMT replace fields that
// it leaves out.
func loadPlatformConfig(getenv func(string) string) (sidecar.Config, error) {
	path := getenv(configVariable)
	if path == "" {
		return sidecar.Config{}, fmt.Errorf("%s is not set", configVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return sidecar.Config{}, fmt.Errorf("%s: %w", configVariable, err)
	}
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return sidecar.Config{}, fmt.Errorf("%s: %w", path, err)
	}
	cfg := sidecar.Config{
		Name:      cmp.Or(file.Name, getenv("RELAY_NAME")),
		Listen:    cmp.Or(file.Listen, getenv("RELAY_LISTEN")),
		Discovery: cmp.Or(file.Discovery, getenv("RELAY_DISCOVERY")),
		AdminAddr: cmp.Or(file.Operators, getenv("RELAY_MGMT")),
		MemoryMB:  file.Limits.MemoryMB,
		Sockets:   file.Limits.Sockets,
	}
	if cfg.AdminAddr != "" {
		cfg.SharedFolder = getenv("TMPDIR")
	}
	if err := file.parseInto(&cfg); err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// parseInto validates the addresses and limits of cfg, and sets the fields that are parsed from text or JSON.
func (f *platformFile) parseInto(cfg *sidecar.Config) (err error) {
	if err := validateAddresses(cfg); err != nil {
		return err
	}
	if cfg.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if cfg.MemoryMB < 1 {
		return fmt.Errorf("limits.memory_mb: %d must be at least 1", cfg.MemoryMB)
	}
	if cfg.Sockets < sidecar.MinSockets {
		return fmt.Errorf("limits.sockets: %d is below the minimum of %d", cfg.Sockets, sidecar.MinSockets)
	}
	if cfg.Site, err = wire.ParseSite(f.Settings); err != nil {
		return err
	}
	if len(f.Known) > 0 {
		if cfg.InitialList, err = sidecar.ParseList(f.Known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	return nil
}

// validateAddresses returns an error that names the first invalid address. The address of the admin API may be absent.
func validateAddresses(cfg *sidecar.Config) error {
	for _, address := range []struct {
		key, value string
		optional   bool
	}{
		{"listen", cfg.Listen, false}, {"discovery", cfg.Discovery, false}, {"mgmt", cfg.AdminAddr, true},
	} {
		if address.optional && address.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return fmt.Errorf("%s: %w", address.key, err)
		}
	}
	return nil
}
