package operator

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one table of the file that a reload would add, remove or change.
type Change struct {
	Kind   string // limits, context, name, listener, pool, route or site
	Name   string
	What   string // added, removed or changed
	Fields []string
	Effect string // how it affects running connections and requests
}

func (c Change) String() string {
	s := strings.TrimSpace(c.Kind+" "+c.Name) + ": " + c.What
	if len(c.Fields) > 0 {
		s += " (" + strings.Join(c.Fields, "; ") + ")"
	}
	if c.Effect != "" {
		s += ": " + c.Effect
	}
	return s
}

// SameModule reports whether a pool keeps its decision module, measurements and connections when another file is loaded. All
// settings must be equal except for the servers and their source, the share of the connections, and the levels of reduced service.
func (p *Pool) SameModule(q *Pool) bool {
	a, b := *p, *q
	a.Servers, b.Servers, a.Source, b.Source, a.Connections, b.Connections = nil, nil, Source{}, Source{}, Share{}, Share{}
	for _, p := range []*Pool{&a, &b} {
		p.Levels, p.LevelWindow, p.LevelCaller, p.Allot = nil, 0, "", false
	}
	return reflect.DeepEqual(a, b)
}

// Diff returns what a reload from one file to another changes, in the order limits, context, name, listeners, pools, routes, sites.
func Diff(from, to *Config) []Change {
	var out []Change
	if fields := differences(from.Limits, to.Limits); len(fields) > 0 {
		out = append(out, Change{Kind: "limits", What: "changed", Fields: fields})
	}
	if fields := differences(from.Context, to.Context); len(fields) > 0 {
		out = append(out, Change{Kind: "context", What: "changed", Fields: fields})
	}
	if from.Name != to.Name {
		out = append(out, Change{Kind: "name", What: "changed", Fields: []string{fmt.Sprintf("%s -> %s", from.Name, to.Name)}})
	}
	out = append(out, diffTables("listener", from.Listeners, to.Listeners, func(l *Listener) string { return l.Name },
		func(a, b *Listener) string {
			if a.Address != b.Address {
				return "the old address takes no more connections, those that it has are finished"
			}
			return "its connections are kept"
		})...)
	out = append(out, diffTables("pool", from.Pools, to.Pools, func(p *Pool) string { return p.Name },
		func(a, b *Pool) string {
			if a.SameModule(b) {
				return "measurements and connections are kept"
			}
			return "begins anew; the old one finishes its requests"
		})...)
	out = append(out, diffTables("route", from.Routes, to.Routes, func(r *Route) string { return r.Name },
		func(*Route, *Route) string { return "" })...)
	return append(out, diffTables("site", from.Sites, to.Sites, func(s *Site) string { return s.Name },
		func(*Site, *Site) string { return "" })...)
}

// diffTables compares two lists of tables by their names.
func diffTables[T any](kind string, from, to []T, name func(*T) string, effect func(a, b *T) string) []Change {
	var out []Change
	old := map[string]*T{}
	for i := range from {
		old[name(&from[i])] = &from[i]
	}
	for i := range to {
		n := name(&to[i])
		a, ok := old[n]
		delete(old, n)
		if !ok {
			out = append(out, Change{Kind: kind, Name: n, What: "added"})
		} else if fields := differences(*a, to[i]); len(fields) > 0 {
			out = append(out, Change{Kind: kind, Name: n, What: "changed", Fields: fields, Effect: effect(a, &to[i])})
		}
	}
	for i := range from {
		if n := name(&from[i]); old[n] != nil {
			out = append(out, Change{Kind: kind, Name: n, What: "removed"})
		}
	}
	slices.SortStableFunc(out, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// differences returns the keys in which two structs of the schema differ, with both values where these are short.
func differences(a, b any) []string {
	var out []string
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		fa, fb := va.Field(i), vb.Field(i)
		if reflect.DeepEqual(fa.Interface(), fb.Interface()) {
			continue
		}
		key := va.Type().Field(i).Tag.Get("toml")
		switch fa.Kind() {
		case reflect.Slice:
			out = append(out, fmt.Sprintf("%s: %d -> %d entries", key, fa.Len(), fb.Len()))
		case reflect.Struct:
			for _, d := range differences(fa.Interface(), fb.Interface()) {
				out = append(out, key+"."+d)
			}
		default:
			out = append(out, fmt.Sprintf("%s: %v -> %v", key, formatValue(fa), formatValue(fb)))
		}
	}
	return out
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}
