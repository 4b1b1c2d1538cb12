package upgrade

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// UnknownFields are the fields of a JSON object that this program doesn't know, because a later
// version wrote them. They must be kept when the object is rewritten.
type UnknownFields map[string]json.RawMessage

var errNotAnObject = errors.New("it is no JSON object")

// FieldNames returns the names in the json tags of a struct's fields.
func FieldNames(structValue any) []string {
	var names []string
	t := reflect.TypeOf(structValue)
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			names = append(names, name)
		}
	}
	return names
}

// FindUnknown returns the fields of an encoded object that aren't among the known ones, or nil if there
// are none. It returns an error if the value is no object, or if a field differs from a known one in
// case only, because encoding/json would decode either into the same field.
func FindUnknown(object []byte, known []string) (UnknownFields, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil || fields == nil {
		return nil, errNotAnObject
	}
	for _, name := range known {
		delete(fields, name)
	}
	if len(fields) == 0 {
		return nil, nil
	}
	for name := range fields {
		if slices.ContainsFunc(known, func(k string) bool { return strings.EqualFold(k, name) }) {
			return nil, fmt.Errorf("field %q stands for a known one", name)
		}
	}
	return fields, nil
}

// AddTo adds the fields to an encoded object that doesn't contain them.
func (u UnknownFields) AddTo(object []byte) ([]byte, error) {
	if len(u) == 0 {
		return object, nil
	}
	fields := maps.Clone(u)
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
