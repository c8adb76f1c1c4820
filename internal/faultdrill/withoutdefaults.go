package faultdrill

import (
	"encoding"
	"reflect"

	"milletmast/internal/operator"
)

// withoutDefaults returns a table of an operator file with only the keys that differ from their defaults, so that an older program
// without the newer keys can run beside a newer one.
func withoutDefaults(v reflect.Value) map[string]any {
	defaults := reflect.New(v.Type())
	if d, ok := defaults.Interface().(operator.Defaulter); ok {
		d.SetDefaults()
	}
	out := map[string]any{}
	for i := range v.NumField() {
		field, key := v.Field(i), v.Type().Field(i).Tag.Get("toml")
		if key == "" || reflect.DeepEqual(field.Interface(), defaults.Elem().Field(i).Interface()) {
			continue
		}
		switch text, ok := field.Interface().(encoding.TextMarshaler); {
		case ok:
			b, err := text.MarshalText()
			if err != nil {
				continue // the types of the schema do not fail
			}
			out[key] = string(b)
		case field.Kind() == reflect.Struct:
			out[key] = withoutDefaults(field)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			var list []map[string]any
			for n := range field.Len() {
				list = append(list, withoutDefaults(field.Index(n)))
			}
			out[key] = list
		default:
			out[key] = field.Interface()
		}
	}
	return out
}
