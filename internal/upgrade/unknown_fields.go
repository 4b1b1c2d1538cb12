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

// UnknownFields are the fields of a JSON object that this program doesn't know. A later
// version wrote them; whoever rewrites the object must not lose them.
type UnknownFields map[string]json.RawMessage

var errNoObject = errors.New("it is no JSON object")

// FieldNames lists the JSON names of a struct's exported fields.
func FieldNames(of any) []string {
	var names []string
	t := reflect.TypeOf(of)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			names = append(names, name)
		}
	}
	return names
}

// FindUnknown returns the fields of an object that aren't among the known ones; nil if
// there are none. A field that differs from a known one by upper and lower case only is
// an error: a reader might take either for the other.
func FindUnknown(object []byte, known []string) (UnknownFields, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil || fields == nil {
		return nil, errNoObject
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

// AddTo writes the fields into an encoded object that lacks them.
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
