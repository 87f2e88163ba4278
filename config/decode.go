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

// maxNameDistance is the number of edits within which a name is proposed in
// place of an unknown one.
const maxNameDistance = 3

// decoder fills the typed configuration from the merged tree.
type decoder struct {
	problems *Problems
}

// value decodes a setting into target, whose type decides what is allowed.
func (d *decoder) value(setting *Setting, target reflect.Value, path string) {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(setting, unmarshaler, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.structure(setting, target, path)
	case reflect.Map:
		d.dictionary(setting, target, path)
	case reflect.Slice:
		d.list(setting, target, path)
	default:
		d.scalar(setting, target, path)
	}
}

func (d *decoder) expect(setting *Setting, kind Kind, path string) bool {
	if setting.Kind == kind {
		return true
	}
	d.problems.add(setting.Position, "write "+kind.String(), "%s must be %s and is %s", path, kind, setting.Kind)
	return false
}

func (d *decoder) text(setting *Setting, target encoding.TextUnmarshaler, path string) {
	if !d.expect(setting, Scalar, path) {
		return
	}
	if err := target.UnmarshalText([]byte(setting.Text)); err != nil {
		d.valueProblem(setting, path, err)
	}
}

// valueProblem reports a value whose error has the form "fault; mend".
func (d *decoder) valueProblem(setting *Setting, path string, err error) {
	fault, mend, _ := strings.Cut(err.Error(), "; ")
	d.problems.add(setting.Position, mend, "%s: %s", path, fault)
}

func (d *decoder) scalar(setting *Setting, target reflect.Value, path string) {
	if !d.expect(setting, Scalar, path) {
		return
	}
	if err := setScalar(target, setting.Text); err != nil {
		d.valueProblem(setting, path, err)
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

func (d *decoder) list(setting *Setting, target reflect.Value, path string) {
	if !d.expect(setting, List, path) {
		return
	}
	for i, item := range setting.Items {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(item, element, join(path, strconv.Itoa(i)))
		target.Set(reflect.Append(target, element))
	}
}

func (d *decoder) dictionary(setting *Setting, target reflect.Value, path string) {
	if !d.expect(setting, Map, path) {
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, key := range setting.Keys() {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(setting.Children[key], element, join(path, key))
		target.SetMapIndex(reflect.ValueOf(key), element)
	}
}

func (d *decoder) structure(setting *Setting, target reflect.Value, path string) {
	if !d.expect(setting, Map, path) {
		return
	}
	for _, key := range setting.Keys() {
		if _, known := target.Type().FieldByName(key); !known {
			child := setting.Children[key]
			d.problems.add(child.Position, proposeName(key, fieldNames(target.Type())), "unknown setting %s", join(path, key))
		}
	}
	for i := range target.NumField() {
		field := target.Type().Field(i)
		fieldPath := join(path, field.Name)
		child, set := setting.Children[field.Name]
		switch {
		case set:
			d.value(child, target.Field(i), fieldPath)
		case field.Tag.Get(requiredTag) != "":
			d.problems.add(setting.Position, "add "+field.Name, "%s is missing", fieldPath)
		default:
			setDefaults(target.Field(i), field.Tag.Get(defaultTag))
		}
	}
}

// setDefaults gives target the default of its tag, or its fields theirs. The
// defaults are part of the program, so a wrong one is a panic.
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

// proposeName returns the mend for an unknown name: the nearest known one, or
// all of them.
func proposeName(name string, known []string) string {
	best, distance := "", maxNameDistance+1
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
