package emulate

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"milletmast/internal/operator"
)

// Limits of a scenario.
const (
	maxScenario = 1 << 20
	maxReplicas = 10_000
	maxServers  = 20_000
	maxRequests = 50_000_000 // of a run: its rate times its duration
	maxFaults   = 1000
)

// Load reads a scenario for the emulator. Overrides set some of its fields: "copies.count=20" (see applyOverride).
func Load(path string, overrides ...string) (*Scenario, error) {
	return loadFor(path, (*Scenario).checkEmulated, overrides)
}

// LoadDrill reads a scenario for a drill, which runs processes.
func LoadDrill(path string, overrides ...string) (*Scenario, error) {
	return loadFor(path, (*Scenario).checkDrill, overrides)
}

// loadFor reads a scenario. Further checks are those of the emulator or of drills.
func loadFor(path string, furtherChecks func(*Scenario, func(field, text string)), overrides []string) (*Scenario, error) {
	text, err := operator.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, text, furtherChecks, overrides)
}

// Parse parses the text of a scenario for the emulator. The error lists all mistakes, with file, line and field.
func Parse(path string, text []byte, overrides ...string) (*Scenario, error) {
	return parse(path, text, (*Scenario).checkEmulated, overrides)
}

// ParseDrill parses the text of a scenario for a drill, which runs processes.
func ParseDrill(path string, text []byte, overrides ...string) (*Scenario, error) {
	return parse(path, text, (*Scenario).checkDrill, overrides)
}

// parse decodes and checks a scenario.
func parse(path string, text []byte, furtherChecks func(*Scenario, func(field, text string)), overrides []string) (*Scenario, error) {
	if len(text) > maxScenario {
		return nil, fmt.Errorf("%s: the file is larger than the allowed %d KiB", path, maxScenario>>10)
	}
	s := &Scenario{}
	err := operator.DecodeText(path, text, s, func(tree map[string]any) error {
		for _, o := range overrides {
			if err := applyOverride(tree, o); err != nil {
				return err
			}
		}
		return nil
	}, func(report func(field, text string)) {
		s.check(report)
		furtherChecks(s, report)
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// applyOverride sets a field of the tree of a scenario: "demand.rate=900", "fault.0.for=3s", "pool.class.browse.aim=100ms" (an element
// of a list is selected by its index, name or class). The value is TOML, or a string without quotes.
func applyOverride(tree map[string]any, text string) error {
	path, value, ok := strings.Cut(text, "=")
	if !ok {
		return fmt.Errorf("%q sets nothing: write it as copies.count=20", text)
	}
	value = strings.TrimSpace(value)
	var read struct{ V any }
	if err := toml.Unmarshal([]byte("V = "+value+"\n"), &read); err != nil {
		if strings.ContainsAny(value, "\"\n\\") {
			return fmt.Errorf("%q: %q is no value", text, value)
		}
		read.V = value
	}
	keys := strings.Split(strings.TrimSpace(path), ".")
	var at any = tree
	for i, key := range keys {
		last := i == len(keys)-1
		switch node := at.(type) {
		case map[string]any:
			if last {
				node[key] = read.V
				return nil
			}
			if node[key] == nil {
				node[key] = map[string]any{}
			}
			at = node[key]
		case []any:
			n, ok := findElement(node, key)
			if !ok {
				return fmt.Errorf("%q: there is no %s in %s", text, key, strings.Join(keys[:i], "."))
			}
			if last {
				return fmt.Errorf("%q: name a field of %s", text, path)
			}
			at = node[n]
		default:
			return fmt.Errorf("%q: %s is no table", text, strings.Join(keys[:i], "."))
		}
	}
	return nil
}

// findElement returns the index of the element of a list with a name, a class or an index.
func findElement(list []any, key string) (int, bool) {
	n := slices.IndexFunc(list, func(e any) bool {
		m, _ := e.(map[string]any)
		return m["name"] == key || m["class"] == key
	})
	if n >= 0 {
		return n, true
	}
	_, err := fmt.Sscanf(key, "%d", &n)
	return n, err == nil && n >= 0 && n < len(list)
}
