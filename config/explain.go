package config

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Explanation describes one setting: its value, its origin and its effect.
type Explanation struct {
	Path  string
	Value string
	// Origin is the file and line that set the value, or "default".
	Origin string
	// Default is the default value; empty if there is none.
	Default string `json:",omitempty"`
	// Overrode lists the overridden values, the newest last.
	Overrode []Override
	// Derivation shows how a limit is computed from other settings; empty if it
	// is not.
	Derivation string `json:",omitempty"`
	// Effect is what the setting does.
	Effect string
}

// Text formats the explanation as a few lines of text.
func (e Explanation) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s = %s\n", e.Path, e.Value)
	fmt.Fprintf(&text, "  set by:   %s\n", e.Origin)
	for _, override := range slices.Backward(e.Overrode) {
		fmt.Fprintf(&text, "  overrode: %s (%s)\n", override.Text, override.Position)
	}
	if e.Default != "" {
		fmt.Fprintf(&text, "  default:  %s\n", e.Default)
	}
	if e.Derivation != "" {
		fmt.Fprintf(&text, "  derived:  %s\n", e.Derivation)
	}
	fmt.Fprintf(&text, "  effect:   %s\n", e.Effect)
	return text.String()
}

// Explain returns the explanations of the settings at or below path, which is a
// dot-separated list of keys. An empty path selects all settings.
func (d *Declaration) Explain(path string) ([]Explanation, error) {
	all := d.explainAll()
	if path == "" {
		return all, nil
	}
	var found []Explanation
	for _, explanation := range all {
		if explanation.Path == path || strings.HasPrefix(explanation.Path, path+".") {
			found = append(found, explanation)
		}
	}
	if len(found) == 0 {
		return nil, errors.Errorf("setting %q does not exist; %s", path, d.suggestPath(path))
	}
	return found, nil
}

// suggestPath returns a hint for a path that selects no setting.
func (d *Declaration) suggestPath(path string) string {
	node := d.Tree
	var known []string
	for key := range strings.SplitSeq(path, ".") {
		child := node.child(key)
		if child == nil {
			parent := strings.Join(known, ".")
			return fmt.Sprintf("under %q: %s", parent, suggestName(key, node.Keys()))
		}
		known = append(known, key)
		node = child
	}
	return "try its parent"
}

func (d *Declaration) explainAll() []Explanation {
	e := &explainer{declaration: d}
	e.walk(reflect.ValueOf(d.Config), d.Tree, "", "", "")
	return e.explanations
}

type explainer struct {
	declaration  *Declaration
	explanations []Explanation
}

// walk adds the explanations of the leaves below value. The setting is nil if no
// file sets the value.
func (e *explainer) walk(value reflect.Value, setting *Setting, path, help, defaultText string) {
	_, isText := value.Interface().(encoding.TextMarshaler)
	switch {
	case value.Kind() == reflect.Struct && !isText:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			child := childOf(setting, field.Name)
			e.walk(value.Field(i), child, joinPath(path, field.Name), field.Tag.Get(helpTag), field.Tag.Get(defaultTag))
		}
	case value.Kind() == reflect.Map:
		for _, key := range setting.keysOrNone() {
			e.walk(value.MapIndex(reflect.ValueOf(key)), setting.Children[key], joinPath(path, key), help, "")
		}
	default:
		e.explainLeaf(value, setting, path, help, defaultText)
	}
}

func (e *explainer) explainLeaf(value reflect.Value, setting *Setting, path, help, defaultText string) {
	explanation := Explanation{
		Path:       path,
		Value:      formatValue(value),
		Origin:     "default",
		Default:    defaultText,
		Derivation: e.derivation(path),
		Effect:     help,
	}
	if setting != nil {
		explanation.Origin = origin(setting)
		explanation.Overrode = setting.Overrode
	}
	e.explanations = append(e.explanations, explanation)
}

func childOf(setting *Setting, key string) *Setting {
	if setting == nil {
		return nil
	}
	return setting.child(key)
}

func (s *Setting) keysOrNone() []string {
	if s == nil {
		return nil
	}
	return s.Keys()
}

func formatValue(value reflect.Value) string {
	if marshaler, ok := value.Interface().(encoding.TextMarshaler); ok {
		text, _ := marshaler.MarshalText()
		return string(text)
	}
	if value.Kind() == reflect.Slice {
		items := make([]string, value.Len())
		for i := range items {
			items[i] = value.Index(i).String()
		}
		return "[" + strings.Join(items, ", ") + "]"
	}
	return fmt.Sprint(value.Interface())
}

// derivation returns how a quota that is not set is computed from other
// settings, or "" for any other setting.
func (e *explainer) derivation(path string) string {
	parts := strings.Split(path, ".")
	if len(parts) != 4 || parts[0] != "Services" || parts[2] != "Quota" {
		return ""
	}
	d := e.declaration
	service := d.Config.Services[parts[1]]
	hosts := len(d.PoolHosts(service.Pool))
	switch {
	case parts[3] == "Slots" && service.Quota.Slots == 0:
		return formatProduct(hosts, service.Pool, d.Config.HostShape.Slots, "slots", d.SlotQuota(parts[1]))
	case parts[3] == "Connections" && service.Quota.Connections == 0:
		return formatProduct(hosts, service.Pool, d.Config.HostShape.Connections, "connections", d.ConnectionQuota(parts[1]))
	default:
		return ""
	}
}

func formatProduct(hosts int, pool string, perHost int, unit string, total int) string {
	return fmt.Sprintf("%d hosts of pool %s x %d %s of HostShape = %s", hosts, pool, perHost, unit, strconv.Itoa(total))
}
