package loadbench

import "time"

// ExampleClasses returns request classes of a web shop. Its times are a quarter of realistic ones, so that trials are short. A
// plan-save has twelve times the priority weight of the others.
func ExampleClasses() []Class {
	return []Class{
		{"plan-save", 0.16, 60 * time.Millisecond, 500 * time.Millisecond, 1250 * time.Millisecond, 12, "safe"},
		{"browse", 0.52, 35 * time.Millisecond, 250 * time.Millisecond, 625 * time.Millisecond, 1, "safe"},
		{"box-add", 0.32, 75 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 1, "unsafe"},
	}
}

// ExampleLevels are degradation levels for ExampleClasses; docs/operate/levels.md explains the settings.
const ExampleLevels = `
[[pool.level]]
name = "lean"
enter = [{ signal = "p95", over = 1.0 }, { signal = "wait", over = 0.1 }]
for = "200ms"
calm = "500ms"
least = "1s"
off = "500ms"
ramp = "1s"
attempts = 2
[[pool.level.shed]]
class = "box-add"

[[pool.level]]
name = "essential"
enter = [{ signal = "p95", over = 1.2 }, { signal = "wait", over = 0.2 }]
for = "200ms"
calm = "500ms"
least = "1s"
off = "500ms"
ramp = "1s"
attempts = 1
deadline = 0.4
[[pool.level.shed]]
class = "box-add"
[[pool.level.shed]]
class = "browse"
`
