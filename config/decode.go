package config

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pkg/errors"
)

const (
	helpTag     = "help"
	defaultTag  = "default"
	requiredTag = "required"
)

// maxSuggestionDistance is the largest edit distance at which a known name is
// suggested for an unknown one.
const maxSuggestionDistance = 3

// decoder decodes the merged tree into the typed configuration.
type decoder struct {
	problems *Problems
}

// decodeValue decodes a setting into target, according to the type of target.
func (d *decoder) decodeValue(setting *Setting, target reflect.Value, path string) {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(setting, unmarshaler, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(setting, target, path)
	case reflect.Map:
		d.decodeMap(setting, target, path)
	case reflect.Slice:
		d.decodeList(setting, target, path)
	default:
		d.decodeScalar(setting, target, path)
	}
}

// checkKind reports whether the setting is of the given kind, and adds a problem
// if not.
func (d *decoder) checkKind(setting *Setting, kind Kind, path string) bool {
	if setting.Kind == kind {
		return true
	}
	d.problems.add(setting.Position, "write "+kind.String(), "%s must be %s and is %s", path, kind, setting.Kind)
	return false
}

func (d *decoder) decodeText(setting *Setting, target encoding.TextUnmarshaler, path string) {
	if !d.checkKind(setting, Scalar, path) {
		return
	}
	if err := target.UnmarshalText([]byte(setting.Text)); err != nil {
		d.addValueProblem(setting, path, err)
	}
}

// addValueProblem adds a problem for a value. The error must have the form
// "text; fix".
func (d *decoder) addValueProblem(setting *Setting, path string, err error) {
	text, fix, _ := strings.Cut(err.Error(), "; ")
	d.problems.add(setting.Position, fix, "%s: %s", path, text)
}

func (d *decoder) decodeScalar(setting *Setting, target reflect.Value, path string) {
	if !d.checkKind(setting, Scalar, path) {
		return
	}
	if err := setScalar(target, setting.Text); err != nil {
		d.addValueProblem(setting, path, err)
	}
}

func setScalar(target reflect.Value, text string) error {
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return errors.Errorf("%q is no truth value; write true or false", text)
		}
		target.SetBool(text == "true")
	case reflect.Int:
		number, err := strconv.ParseInt(text, 10, 32)
		if err != nil || number < 0 {
			return errors.Errorf("%q is not a whole number from 0 up; write one such as 8", text)
		}
		target.SetInt(number)
	default:
		panic("config: no decoder for " + target.Type().String())
	}
	return nil
}

func (d *decoder) decodeList(setting *Setting, target reflect.Value, path string) {
	if !d.checkKind(setting, List, path) {
		return
	}
	for i, item := range setting.Items {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(item, element, joinPath(path, strconv.Itoa(i)))
		target.Set(reflect.Append(target, element))
	}
}

func (d *decoder) decodeMap(setting *Setting, target reflect.Value, path string) {
	if !d.checkKind(setting, Map, path) {
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, key := range setting.Keys() {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(setting.Children[key], element, joinPath(path, key))
		target.SetMapIndex(reflect.ValueOf(key), element)
	}
}

func (d *decoder) decodeStruct(setting *Setting, target reflect.Value, path string) {
	if !d.checkKind(setting, Map, path) {
		return
	}
	for _, key := range setting.Keys() {
		if _, known := target.Type().FieldByName(key); !known {
			child := setting.Children[key]
			d.problems.add(child.Position, suggestName(key, fieldNames(target.Type())), "unknown setting %s", joinPath(path, key))
		}
	}
	for i := range target.NumField() {
		field := target.Type().Field(i)
		fieldPath := joinPath(path, field.Name)
		child, set := setting.Children[field.Name]
		switch {
		case set:
			d.decodeValue(child, target.Field(i), fieldPath)
		case field.Tag.Get(requiredTag) != "":
			d.problems.add(setting.Position, "add "+field.Name, "%s is missing", fieldPath)
		default:
			setDefaults(target.Field(i), field.Tag.Get(defaultTag))
		}
	}
}

// setDefaults sets target to the default in its tag, and the fields of a struct
// to theirs. Defaults are part of the program, so it panics on an invalid one.
func setDefaults(target reflect.Value, text string) {
	unmarshaler, isText := target.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case isText:
		if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
			panic(err)
		}
	case target.Kind() == reflect.Struct:
		for i := range target.NumField() {
			setDefaults(target.Field(i), target.Type().Field(i).Tag.Get(defaultTag))
		}
	case text != "":
		if err := setScalar(target, text); err != nil {
			panic(err)
		}
	}
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Name
	}
	return names
}

// suggestName returns the fix for an unknown name: the closest known name, or a
// list of all.
func suggestName(name string, known []string) string {
	best, distance := "", maxSuggestionDistance+1
	for _, candidate := range known {
		if d := levenshtein.ComputeDistance(name, candidate); d < distance {
			best, distance = candidate, d
		}
	}
	if best != "" {
		return "did you mean " + best + "?"
	}
	if len(known) == 0 {
		return "there is none yet; declare it"
	}
	return "use one of " + strings.Join(known, ", ")
}
