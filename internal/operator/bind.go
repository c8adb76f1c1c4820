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

// binder fills structs from a decoded document. The strict mode of the TOML library stops at the first value of a wrong type;
// the binder reports all of them.
type binder struct {
	report func(path string, err error)
}

// bindTable fills a struct. It sets the defaults first, so that an absent key keeps its default.
func (b *binder) bindTable(path string, from map[string]any, to reflect.Value) {
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
			b.bindValue(at, from[key], to.Field(i))
		} else {
			b.report(at, unknownKey(key, names))
		}
	}
	if to.Type() == reflect.TypeFor[File]() {
		if _, ok := from["limits"]; !ok {
			to.Addr().Interface().(*File).Limits.SetDefaults()
		}
	}
}

// join returns the path of a key below another path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// unknownKey returns the error for a key that the table does not have. The error names the key that was probably meant.
func unknownKey(key string, names []string) error {
	for _, name := range names {
		if isLikelyTypo(key, name) {
			return fmt.Errorf("unknown key; is %q meant?", name)
		}
	}
	return errors.New("unknown key")
}

// isLikelyTypo reports whether a key is probably a misspelling of a name of the schema.
func isLikelyTypo(key, name string) bool {
	if strings.EqualFold(strings.ReplaceAll(key, "-", "_"), name) || key == name+"s" || name == key+"s" {
		return true
	}
	return len(name) > minLengthForTypos && editDistance(key, name) <= maxTypos
}

const (
	maxTypos          = 2
	minLengthForTypos = 3
	maxComparedKey    = 64 // longer keys are not compared
)

// editDistance returns the Levenshtein distance of two texts: the number of bytes to change, insert or delete to turn a into b.
func editDistance(a, b string) int {
	if len(a) > maxComparedKey {
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

// bindValue sets a field, or the element of a list or a map.
func (b *binder) bindValue(path string, from any, to reflect.Value) {
	if u, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok {
		text, isText := from.(string)
		if !isText {
			text = fmt.Sprint(from)
		}
		if err := u.UnmarshalText([]byte(text)); err != nil {
			b.report(path, err)
		}
		return
	}
	switch to.Kind() {
	case reflect.String, reflect.Bool, reflect.Int, reflect.Float64:
		b.bindScalar(path, from, to)
	case reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		b.bindValue(path, from, to.Elem())
	case reflect.Slice:
		b.bindList(path, from, to)
	case reflect.Map:
		b.bindMap(path, from, to)
	case reflect.Struct:
		if v, ok := from.(map[string]any); ok {
			b.bindTable(path, v, to)
		} else {
			b.reportType(path, "a table", from)
		}
	default:
		panic("operator: the schema holds a field of kind " + to.Kind().String())
	}
}

func (b *binder) bindScalar(path string, from any, to reflect.Value) {
	switch to.Kind() {
	case reflect.String:
		if v, ok := from.(string); ok {
			to.SetString(v)
		} else {
			b.reportType(path, "a text", from)
		}
	case reflect.Bool:
		if v, ok := from.(bool); ok {
			to.SetBool(v)
		} else {
			b.reportType(path, "true or false", from)
		}
	case reflect.Int:
		if v, ok := from.(int64); ok && v >= math.MinInt32 && v <= math.MaxInt32 {
			to.SetInt(v)
		} else {
			b.reportType(path, "an integer from -2147483648 to 2147483647", from)
		}
	case reflect.Float64:
		b.bindFloat(path, from, to)
	}
}

func (b *binder) bindFloat(path string, from any, to reflect.Value) {
	switch v := from.(type) {
	case int64:
		to.SetFloat(float64(v))
	case float64:
		if math.IsNaN(v) || math.IsInf(v, 0) {
			b.report(path, errors.New("must be a finite number"))
			return
		}
		to.SetFloat(v)
	default:
		b.reportType(path, "a number", from)
	}
}

func (b *binder) bindList(path string, from any, to reflect.Value) {
	list, ok := from.([]any)
	if !ok {
		b.reportType(path, "a list", from)
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(list), len(list)))
	for i, v := range list {
		b.bindValue(fmt.Sprintf("%s[%d]", path, i), v, to.Index(i))
	}
}

// bindMap fills a map of values by name.
func (b *binder) bindMap(path string, from any, to reflect.Value) {
	table, ok := from.(map[string]any)
	if !ok {
		b.reportType(path, "a table", from)
		return
	}
	to.Set(reflect.MakeMap(to.Type()))
	for _, key := range slices.Sorted(maps.Keys(table)) {
		v := reflect.New(to.Type().Elem()).Elem()
		b.bindValue(join(path, key), table[key], v)
		to.SetMapIndex(reflect.ValueOf(key), v)
	}
}

// reportType reports a value whose type is not that of the schema.
func (b *binder) reportType(path, want string, got any) {
	b.report(path, fmt.Errorf("must be %s, not %s", want, kindOf(got)))
}

// kindOf describes a decoded value for an error message.
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
