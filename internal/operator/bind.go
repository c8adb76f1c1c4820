package operator

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
)

// binder fills structs from a decoded document. The library's own strict mode stops at the first value of a wrong type;
// an operator wants to be told of all at once.
type binder struct {
	complain func(path string, err error)
}

// table fills a struct. Defaults are set before, so that a key that is absent leaves them.
func (b *binder) table(path string, from map[string]any, to reflect.Value) {
	if d, ok := to.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
	fields := map[string]int{}
	var names []string
	for i := range to.NumField() {
		name := to.Type().Field(i).Tag.Get("toml")
		fields[name] = i
		names = append(names, name)
	}
	for _, key := range slices.Sorted(maps.Keys(from)) {
		at := join(path, key)
		if i, ok := fields[key]; ok {
			b.value(at, from[key], to.Field(i))
		} else {
			b.complain(at, unknown(key, names))
		}
	}
	if to.Type() == reflect.TypeFor[File]() {
		if _, ok := from["limits"]; !ok {
			to.Addr().Interface().(*File).Limits.SetDefaults()
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// unknown names the key that was probably meant.
func unknown(key string, names []string) error {
	for _, n := range names {
		if strings.EqualFold(strings.ReplaceAll(key, "-", "_"), n) || key == n+"s" || n == key+"s" || distance(key, n) <= 2 && len(n) > 3 {
			return fmt.Errorf("unknown key; is %q meant?", n)
		}
	}
	return errors.New("unknown key")
}

// distance counts the letters to change, add or drop to make b of a.
func distance(a, b string) int {
	if len(a) > 64 {
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		last := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j], last = min(row[j]+1, row[j-1]+1, last+cost), row[j]
		}
	}
	return row[len(b)]
}

func (b *binder) value(path string, from any, to reflect.Value) {
	if u, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok {
		text, isText := from.(string)
		if !isText {
			text = fmt.Sprint(from)
		}
		if err := u.UnmarshalText([]byte(text)); err != nil {
			b.complain(path, err)
		}
		return
	}
	wrong := func(want string) { b.complain(path, fmt.Errorf("must be %s, not %s", want, kindOf(from))) }
	switch to.Kind() {
	case reflect.String:
		if v, ok := from.(string); ok {
			to.SetString(v)
		} else {
			wrong("a text")
		}
	case reflect.Bool:
		if v, ok := from.(bool); ok {
			to.SetBool(v)
		} else {
			wrong("true or false")
		}
	case reflect.Int:
		if v, ok := from.(int64); ok && v >= math.MinInt32 && v <= math.MaxInt32 {
			to.SetInt(v)
		} else {
			wrong("a whole number of up to 2147483647")
		}
	case reflect.Float64:
		switch v := from.(type) {
		case int64:
			to.SetFloat(float64(v))
		case float64:
			if math.IsNaN(v) || math.IsInf(v, 0) {
				b.complain(path, errors.New("must be a finite number"))
			} else {
				to.SetFloat(v)
			}
		default:
			wrong("a number")
		}
	case reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		b.value(path, from, to.Elem())
	case reflect.Slice:
		list, ok := from.([]any)
		if !ok {
			wrong("a list")
			return
		}
		to.Set(reflect.MakeSlice(to.Type(), len(list), len(list)))
		for i, v := range list {
			b.value(fmt.Sprintf("%s[%d]", path, i), v, to.Index(i))
		}
	case reflect.Map: // of texts, by name
		table, ok := from.(map[string]any)
		if !ok {
			wrong("a table")
			return
		}
		to.Set(reflect.MakeMap(to.Type()))
		for _, key := range slices.Sorted(maps.Keys(table)) {
			v := reflect.New(to.Type().Elem()).Elem()
			b.value(join(path, key), table[key], v)
			to.SetMapIndex(reflect.ValueOf(key), v)
		}
	case reflect.Struct:
		if v, ok := from.(map[string]any); ok {
			b.table(path, v, to)
		} else {
			wrong("a table")
		}
	default:
		panic("operator: the schema holds a field of kind " + to.Kind().String())
	}
}

func kindOf(v any) string {
	switch v := v.(type) {
	case string:
		return "a text"
	case bool:
		return "true or false"
	case int64:
		return fmt.Sprintf("the number %d", v)
	case float64:
		return fmt.Sprintf("the number %v", v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date"
}
