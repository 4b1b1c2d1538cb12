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

// UnknownFields holds the fields of a JSON object that this program doesn't define, because a later
// version of the program wrote them. They must be kept when the object is rewritten.
type UnknownFields map[string]json.RawMessage

var errNotAnObject = errors.New("the value is not a JSON object")

// FieldNames returns the names that the json tags of a struct give to its fields. It leaves out fields whose
// tag gives no name, and fields that aren't encoded.
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

// FindUnknown returns the fields of an encoded JSON object whose names aren't in known, or nil if there
// are none. It returns an error if the value is not an object. It also returns an error if the name of a
// field differs from a known name only in case, because encoding/json would decode both fields into the
// same struct field.
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
			return nil, fmt.Errorf("field %q differs from a known field only in case", name)
		}
	}
	return fields, nil
}

// AddTo returns an encoded JSON object with the unknown fields added. object must not contain fields with
// these names.
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
