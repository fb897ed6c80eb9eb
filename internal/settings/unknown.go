package settings

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// unknown returns the paths of the keys in text that facts has no place for,
// sorted and each told once, however many entries of a list carry it.
func unknown(text []byte) []string {
	var raw any
	if json.Unmarshal(text, &raw) != nil {
		return nil
	}
	var paths []string
	walk("", raw, reflect.TypeFor[facts](), &paths)
	slices.Sort(paths)
	return slices.Compact(paths)
}

func walk(path string, raw any, t reflect.Type, into *[]string) {
	switch v := raw.(type) {
	case []any:
		if t.Kind() == reflect.Slice {
			for _, one := range v {
				walk(path, one, t.Elem(), into)
			}
		}
	case map[string]any:
		if t.Kind() != reflect.Struct || t == reflect.TypeFor[known]() {
			return
		}
		for key, value := range v {
			at := strings.TrimPrefix(path+"."+key, ".")
			if field, ok := fieldOf(t, key); ok {
				walk(at, value, field, into)
			} else {
				*into = append(*into, at)
			}
		}
	}
}

// fieldOf finds the field that encoding/json would fill for a key.
func fieldOf(t reflect.Type, key string) (reflect.Type, bool) {
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		if strings.EqualFold(name, key) {
			return f.Type, true
		}
	}
	return nil, false
}
