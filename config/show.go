package config

import (
	"fmt"
	"strings"

	yaml "go.yaml.in/yaml/v3"
)

// Show formats the merged tree as YAML. A comment on each value names the file
// and line that set it.
func Show(tree *Setting) (string, error) {
	var text strings.Builder
	encoder := yaml.NewEncoder(&text)
	encoder.SetIndent(2)
	if err := encoder.Encode(yamlNode(tree)); err != nil {
		return "", err
	}
	return text.String(), encoder.Close()
}

func yamlNode(s *Setting) *yaml.Node {
	switch s.Kind {
	case Map:
		node := &yaml.Node{Kind: yaml.MappingNode}
		for _, key := range s.Keys() {
			keyNode := &yaml.Node{Kind: yaml.ScalarNode, Value: key}
			node.Content = append(node.Content, keyNode, yamlNode(s.Children[key]))
		}
		return node
	case List:
		node := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle, LineComment: origin(s)}
		for _, item := range s.Items {
			node.Content = append(node.Content, yamlNode(item))
		}
		for _, item := range node.Content {
			item.LineComment = ""
		}
		return node
	default:
		return &yaml.Node{Kind: yaml.ScalarNode, Value: s.Text, LineComment: origin(s)}
	}
}

func origin(s *Setting) string {
	return fmt.Sprintf("%s:%d", s.Position.File, s.Position.Line)
}
