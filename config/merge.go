package config

import (
	"maps"
	"slices"
)

// merge returns the earlier tree overridden by the later one: maps merge key by
// key, scalars and lists replace the earlier value, and a removal deletes it.
// It modifies neither tree.
func merge(earlier, later *Setting, path string, problems *Problems) *Setting {
	if earlier.Kind != Map || later.Kind != Map {
		return replace(earlier, later)
	}
	merged := &Setting{Kind: Map, Position: earlier.Position, Children: maps.Clone(earlier.Children)}
	for _, key := range later.Keys() {
		child := later.Children[key]
		childPath := joinPath(path, key)
		before, exists := merged.Children[key]
		switch {
		case child.Kind == removal && !exists:
			problems.add(child.Position, "drop the line, or mend the name", "%s removes %s, which no earlier file sets", removeTag, childPath)
		case child.Kind == removal:
			delete(merged.Children, key)
		case !exists:
			merged.Children[key] = rejectRemovals(child, childPath, problems)
		case before.Kind != child.Kind:
			problems.add(child.Position, "give it the same shape", "%s is %s here and %s at %s", childPath, child.Kind, before.Kind, before.Position)
		default:
			merged.Children[key] = merge(before, child, childPath, problems)
		}
	}
	return merged
}

// replace returns the later setting with the earlier one recorded as overridden.
func replace(earlier, later *Setting) *Setting {
	override := Override{Position: earlier.Position, Text: earlier.String()}
	replacement := *later
	replacement.Overrode = append(slices.Clone(earlier.Overrode), override)
	return &replacement
}

// rejectRemovals adds problems for the removals in a tree that has no earlier
// value to remove, and returns the tree without them.
func rejectRemovals(tree *Setting, path string, problems *Problems) *Setting {
	if tree.Kind != Map {
		return tree
	}
	empty := &Setting{Kind: Map, Position: tree.Position, Children: make(map[string]*Setting)}
	return merge(empty, tree, path, problems)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
