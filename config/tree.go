package config

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	yaml "go.yaml.in/yaml/v3"
)

// Kind is the kind of a setting.
type Kind uint8

// The kinds of settings.
const (
	Map Kind = iota
	List
	Scalar
	removal
)

// String returns the kind as it is shown in problems.
func (k Kind) String() string {
	return [...]string{"a map", "a list", "a single value", "a removal"}[k]
}

// removeTag is the YAML tag of a key that is removed from earlier files.
const removeTag = "!Remove"

// maxNestingDepth is the largest nesting depth of a declaration file.
const maxNestingDepth = 16

// Override is a value that a later file replaced.
type Override struct {
	Position Position
	Text     string
}

// Setting is a node of the configuration tree, with its origin.
type Setting struct {
	Kind     Kind
	Position Position
	// Text is the value of a scalar.
	Text string
	// Children are the values of a map.
	Children map[string]*Setting
	// Items are the values of a list.
	Items []*Setting
	// Overrode lists the values that this one replaced, the newest last.
	Overrode []Override
}

// Keys returns the keys of a map in ascending order.
func (s *Setting) Keys() []string {
	keys := make([]string, 0, len(s.Children))
	for key := range s.Children {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Lookup returns the setting at a path of keys and list indexes, or nil if there
// is none.
func (s *Setting) Lookup(path ...string) *Setting {
	current := s
	for _, key := range path {
		if current == nil {
			return nil
		}
		current = current.child(key)
	}
	return current
}

func (s *Setting) child(key string) *Setting {
	if s.Kind != List {
		return s.Children[key]
	}
	index, err := strconv.Atoi(key)
	if err != nil || index < 0 || index >= len(s.Items) {
		return nil
	}
	return s.Items[index]
}

// String formats the value on one line; of a map it lists only the keys.
func (s *Setting) String() string {
	switch s.Kind {
	case Scalar:
		return s.Text
	case List:
		items := make([]string, len(s.Items))
		for i, item := range s.Items {
			items[i] = item.String()
		}
		return "[" + strings.Join(items, ", ") + "]"
	default:
		return "{" + strings.Join(s.Keys(), ", ") + "}"
	}
}

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)

// parser builds the tree of one file.
type parser struct {
	file     string
	problems *Problems
}

// parseFile returns the tree of one file, or nil if the file is empty or
// invalid.
func parseFile(name, text string, problems *Problems) *Setting {
	if hasEncodingProblem(name, text, problems) {
		return nil
	}
	p := &parser{file: name, problems: problems}
	decoder := yaml.NewDecoder(strings.NewReader(text))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if strings.TrimSpace(text) == "" || err.Error() == "EOF" {
			return nil
		}
		p.addSyntaxProblem(text, err)
		return nil
	}
	var second yaml.Node
	if decoder.Decode(&second) == nil {
		problems.add(p.position(&second), "move it to a file of its own", "a file holds one document and this is a second one")
		return nil
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		problems.add(p.position(root), "start with a key such as Pools:", "the file must be a map of settings")
		return nil
	}
	return p.parseNode(root, 0)
}

var yamlLinePattern = regexp.MustCompile(`line (\d+): (.*)`)

// addSyntaxProblem adds a problem for an error of the YAML decoder, at the line
// named in its text.
func (p *parser) addSyntaxProblem(text string, err error) {
	pos := Position{File: p.file, Line: 1, Column: 1}
	reason := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := yamlLinePattern.FindStringSubmatch(reason); match != nil {
		pos.Line, _ = strconv.Atoi(match[1])
		reason = match[2]
	}
	lines := strings.Split(text, "\n")
	if pos.Line >= 1 && pos.Line <= len(lines) {
		line := lines[pos.Line-1]
		pos.Column = 1 + len(line) - len(strings.TrimLeft(line, " \t"))
	}
	p.problems.add(pos, "mend the YAML here or on the line above", "not YAML: %s", reason)
}

func (p *parser) position(node *yaml.Node) Position {
	return Position{File: p.file, Line: node.Line, Column: node.Column}
}

func (p *parser) parseNode(node *yaml.Node, depth int) *Setting {
	pos := p.position(node)
	if depth > maxNestingDepth {
		p.problems.add(pos, "flatten it", "nested deeper than %d levels", maxNestingDepth)
		return nil
	}
	if node.Tag == removeTag {
		return &Setting{Kind: removal, Position: pos}
	}
	if strings.HasPrefix(node.Tag, "!") && !strings.HasPrefix(node.Tag, "!!") {
		p.problems.add(pos, "use "+removeTag+" or drop the tag", "unknown tag %s", node.Tag)
		return nil
	}
	switch node.Kind {
	case yaml.MappingNode:
		return p.parseMapping(node, depth)
	case yaml.SequenceNode:
		return p.parseSequence(node, depth)
	case yaml.ScalarNode:
		return p.parseScalar(node)
	default:
		p.problems.add(pos, "write the value out", "anchors and aliases are not supported")
		return nil
	}
}

func (p *parser) parseScalar(node *yaml.Node) *Setting {
	if node.Tag == "!!null" {
		p.problems.add(p.position(node), "give a value, or "+removeTag+" to take an earlier one away", "the value is empty")
		return nil
	}
	return &Setting{Kind: Scalar, Position: p.position(node), Text: node.Value}
}

func (p *parser) parseSequence(node *yaml.Node, depth int) *Setting {
	list := &Setting{Kind: List, Position: p.position(node)}
	for _, item := range node.Content {
		setting := p.parseNode(item, depth+1)
		if setting == nil {
			continue
		}
		if setting.Kind == removal {
			p.problems.add(setting.Position, "write the list as it should be: a later list replaces an earlier one", "%s stands in a list", removeTag)
			continue
		}
		list.Items = append(list.Items, setting)
	}
	return list
}

func (p *parser) parseMapping(node *yaml.Node, depth int) *Setting {
	result := &Setting{Kind: Map, Position: p.position(node), Children: make(map[string]*Setting)}
	seen := make(map[string]Position)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		pos := p.position(key)
		if !keyPattern.MatchString(key.Value) {
			p.problems.add(pos, "use letters, digits, - and _", "%q is not a name", key.Value)
			continue
		}
		if first, duplicate := seen[key.Value]; duplicate {
			p.problems.add(pos, "keep one of the two", "duplicate key %s, first at %s", key.Value, first)
			continue
		}
		seen[key.Value] = pos
		child := p.parseNode(node.Content[i+1], depth+1)
		if child == nil {
			continue
		}
		child.Position = pos
		result.Children[key.Value] = child
	}
	return result
}
