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

// Explanation says of one setting what it is, where it comes from and what it
// does.
type Explanation struct {
	Path  string
	Value string
	// Origin is the file and line that set the value, or "default".
	Origin string
	// Default is the value without any declaration; empty if there is none.
	Default  string `json:",omitempty"`
	Overrode []Override
	// Derivation shows the inputs of a limit worked out from other settings.
	Derivation string `json:",omitempty"`
	Effect     string
}

// Text formats the explanation for people, in a few lines.
func (e Explanation) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s = %s\n", e.Path, e.Value)
	fmt.Fprintf(&text, "  set by:   %s\n", e.Origin)
	for _, old := range slices.Backward(e.Overrode) {
		fmt.Fprintf(&text, "  overrode: %s (%s)\n", old.Text, old.Position)
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

// Explain returns the explanation of every setting at or below path, which is
// made of names joined by dots; an empty path means all.
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
		return nil, errors.Errorf("no setting %s; %s", path, d.nearestPath(path))
	}
	return found, nil
}

func (d *Declaration) nearestPath(path string) string {
	node := d.Tree
	var known []string
	for key := range strings.SplitSeq(path, ".") {
		child := node.child(key)
		if child == nil {
			parent := strings.Join(known, ".")
			return fmt.Sprintf("below %q: %s", parent, proposeName(key, node.Keys()))
		}
		known = append(known, key)
		node = child
	}
	return "look at its parent"
}

func (d *Declaration) explainAll() []Explanation {
	w := &explainer{declaration: d}
	w.walk(reflect.ValueOf(d.Config), d.Tree, "", "", "")
	return w.found
}

type explainer struct {
	declaration *Declaration
	found       []Explanation
}

// walk explains the leaves below value. The setting is nil where no file sets
// anything.
func (w *explainer) walk(value reflect.Value, setting *Setting, path, help, fallback string) {
	_, isText := value.Interface().(encoding.TextMarshaler)
	switch {
	case value.Kind() == reflect.Struct && !isText:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			child := childOf(setting, field.Name)
			w.walk(value.Field(i), child, join(path, field.Name), field.Tag.Get(helpTag), field.Tag.Get(defaultTag))
		}
	case value.Kind() == reflect.Map:
		for _, key := range setting.keysOrNone() {
			w.walk(value.MapIndex(reflect.ValueOf(key)), setting.Children[key], join(path, key), help, "")
		}
	default:
		w.leaf(value, setting, path, help, fallback)
	}
}

func (w *explainer) leaf(value reflect.Value, setting *Setting, path, help, fallback string) {
	explanation := Explanation{
		Path:       path,
		Value:      formatValue(value),
		Origin:     "default",
		Default:    fallback,
		Derivation: w.derivation(path),
		Effect:     help,
	}
	if setting != nil {
		explanation.Origin = origin(setting)
		explanation.Overrode = setting.Overrode
	}
	w.found = append(w.found, explanation)
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

// derivation shows how the limits of a service follow from other settings.
func (w *explainer) derivation(path string) string {
	parts := strings.Split(path, ".")
	if len(parts) != 4 || parts[0] != "Services" || parts[2] != "Quota" {
		return ""
	}
	d := w.declaration
	service := d.Config.Services[parts[1]]
	hosts := len(d.PoolHosts(service.Pool))
	switch {
	case parts[3] == "Slots" && service.Quota.Slots == 0:
		return product(hosts, service.Pool, d.Config.HostShape.Slots, "slots", d.SlotQuota(parts[1]))
	case parts[3] == "Connections" && service.Quota.Connections == 0:
		return product(hosts, service.Pool, d.Config.HostShape.Connections, "connections", d.ConnectionQuota(parts[1]))
	default:
		return ""
	}
}

func product(hosts int, pool string, perHost int, unit string, total int) string {
	return fmt.Sprintf("%d hosts of pool %s x %d %s of HostShape = %s", hosts, pool, perHost, unit, strconv.Itoa(total))
}
