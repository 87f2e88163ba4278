package config

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	yaml "go.yaml.in/yaml/v3"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes the results reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawFile generates the text of a file of nested maps. It uses few keys, so that
// files often set the same one. Keys a to c are maps, l lists and the others
// numbers.
func drawFile(t *rapid.T, label string) string {
	var text strings.Builder
	drawMap(t, &text, label, 0)
	return text.String()
}

func drawMap(t *rapid.T, text *strings.Builder, label string, depth int) {
	names := []string{"a", "b", "c", "v", "w", "l"}
	if depth == 2 {
		names = names[3:]
	}
	keys := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID).Draw(t, label)
	for _, key := range keys {
		indent := strings.Repeat("  ", depth)
		switch key {
		case "a", "b", "c":
			_, _ = fmt.Fprintf(text, "%s%s:\n", indent, key)
			drawMap(t, text, label+key, depth+1)
		case "l":
			items := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 3).Draw(t, label+key)
			_, _ = fmt.Fprintf(text, "%s%s: [%s]\n", indent, key, strings.Trim(strings.ReplaceAll(fmt.Sprint(items), " ", ", "), "[]"))
		default:
			_, _ = fmt.Fprintf(text, "%s%s: %d\n", indent, key, rapid.IntRange(0, 99).Draw(t, label+key))
		}
	}
}

// referenceMerge merges decoded YAML without tracking origins.
func referenceMerge(earlier, later map[string]any) map[string]any {
	merged := maps.Clone(earlier)
	for key, value := range later {
		before, isMap := merged[key].(map[string]any)
		after, bothMaps := value.(map[string]any)
		if isMap && bothMaps {
			merged[key] = referenceMerge(before, after)
			continue
		}
		merged[key] = value
	}
	return merged
}

// toPlain converts a tree to the values that referenceMerge returns.
func toPlain(s *Setting) any {
	switch s.Kind {
	case Map:
		values := make(map[string]any)
		for key, child := range s.Children {
			values[key] = toPlain(child)
		}
		return values
	case List:
		items := make([]any, 0, len(s.Items))
		for _, item := range s.Items {
			items = append(items, toPlain(item))
		}
		return items
	default:
		return s.Text
	}
}

// TestMergeMatchesReference compares merged trees with a reference
// implementation, and checks that each value is at its recorded position.
func TestMergeMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := make(Files)
		reference := make(map[string]any)
		for i := range rapid.IntRange(1, 4).Draw(t, "files") {
			name := fmt.Sprintf("%d.yaml", i)
			files[name] = drawFile(t, name)
			var decoded map[string]any
			if err := yaml.Unmarshal([]byte(files[name]), &decoded); err != nil {
				t.Fatal(err)
			}
			reference = referenceMerge(reference, decoded)
		}
		var problems Problems
		trees := (*Declaration)(nil).parse(files, &problems)
		tree := mergeTrees(files, trees, &problems)
		if len(problems) > 0 {
			t.Fatalf("got problems %v, want none", problems)
		}
		if again := mergeTrees(files, trees, &problems); !reflect.DeepEqual(again, tree) {
			t.Fatalf("got a different tree from merging the same files again, want the same tree since merge must not modify its inputs")
		}
		if got, want := fmt.Sprint(toPlain(tree)), fmt.Sprint(reference); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		checkOrigins(t, files, tree)
	})
}

// checkOrigins fails unless each value is on the line of its recorded position.
func checkOrigins(t *rapid.T, files Files, s *Setting) {
	for key, child := range s.Children {
		lines := strings.Split(files[child.Position.File], "\n")
		got := strings.TrimSpace(lines[child.Position.Line-1])
		if want := key + ":"; !strings.HasPrefix(got, want) {
			t.Fatalf("%s: got line %q, want %q", child.Position, got, want)
		}
		if child.Kind == Scalar && got != key+": "+child.Text {
			t.Fatalf("%s: got line %q, want the value %q", child.Position, got, child.Text)
		}
		checkOrigins(t, files, child)
	}
}

// TestFilesMergeInNameOrder checks that files merge in byte order of their names.
func TestFilesMergeInNameOrder(t *testing.T) {
	files := Files{"b.yaml": "v: 2", "a.yaml": "v: 1", "B.yaml": "v: 0"}
	if got, want := files.Names(), []string{"B.yaml", "a.yaml", "b.yaml"}; !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
	var problems Problems
	trees := (*Declaration)(nil).parse(files, &problems)
	if got, want := mergeTrees(files, trees, &problems).Children["v"].Text, "2"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// FuzzLoad checks that no text makes Load panic, and that each problem has a
// position and a fix.
func FuzzLoad(f *testing.F) {
	f.Add("Pools:\n  P:\n    Hosts: [a]\n")
	f.Add("Racks: {R: {DataCentre: D, Hosts: [a]}}\nPools: {P: {Racks: [R]}}\nServices: {S: {Pool: P, Budget: {MinReady: 0}, Routes: {A: {Path: /}}}}")
	f.Add("a: &x [*x]")
	f.Add("? {a: b}\n: c")
	f.Add("a: !Remove")
	f.Add("\xff\xfe")
	f.Fuzz(func(t *testing.T, text string) {
		declaration, err := Load(Files{"a.yaml": text})
		if err == nil {
			if _, err := Show(declaration.Tree); err != nil {
				t.Errorf("got %v from Show, want none", err)
			}
			return
		}
		problems, ok := err.(Problems)
		if !ok || len(problems) == 0 {
			t.Fatalf("got %T %v, want Problems", err, err)
		}
		for _, problem := range problems {
			if problem.Position.Line < 1 || problem.Position.Column < 1 || problem.Fix == "" {
				t.Errorf("got %+v, want a position and a fix", problem)
			}
		}
	})
}
