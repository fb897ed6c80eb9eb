package settings

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// unknownKeys returns the paths of the keys in text that document has no field
// for. The paths are sorted, and each is listed once even if many elements of
// an array have it.
func unknownKeys(text []byte) []string {
	var raw any
	if json.Unmarshal(text, &raw) != nil {
		return nil
	}
	var paths []string
	collectUnknownKeys("", raw, reflect.TypeFor[document](), &paths)
	slices.Sort(paths)
	return slices.Compact(paths)
}

// collectUnknownKeys appends the paths of the keys in value, found at path, that
// type t has no field for.
func collectUnknownKeys(path string, value any, t reflect.Type, paths *[]string) {
	switch v := value.(type) {
	case []any:
		if t.Kind() == reflect.Slice {
			for _, element := range v {
				collectUnknownKeys(path, element, t.Elem(), paths)
			}
		}
	case map[string]any:
		if t.Kind() != reflect.Struct || t == reflect.TypeFor[ignored]() {
			return
		}
		for key, member := range v {
			memberPath := strings.TrimPrefix(path+"."+key, ".")
			if memberType, ok := fieldType(t, key); ok {
				collectUnknownKeys(memberPath, member, memberType, paths)
			} else {
				*paths = append(*paths, memberPath)
			}
		}
	}
}

// fieldType returns the type of the field that encoding/json fills for a key.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
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
