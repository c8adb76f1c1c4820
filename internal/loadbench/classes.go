package loadbench

import "time"

// ShopClasses returns the classes of a shop on salary day, with a quarter of their times: a plan-save is worth twelve of the others.
func ShopClasses() []Class {
	return []Class{
		{"plan-save", 0.16, 60 * time.Millisecond, 500 * time.Millisecond, 1250 * time.Millisecond, 12, "safe"},
		{"browse", 0.52, 35 * time.Millisecond, 250 * time.Millisecond, 625 * time.Millisecond, 1, "safe"},
		{"box-add", 0.32, 75 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 1, "unsafe"},
	}
}

// ShopLevels are levels of reduced service for ShopClasses, as docs/operate/levels.md explains them.
const ShopLevels = `
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
