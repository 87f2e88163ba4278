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
	// The verdict must be the same on every run.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawFile returns the text of a file of nested maps with few names, so that
// files often meet. Names from a to c hold maps and others values.
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

// naiveMerge merges decoded YAML without any account of origins.
func naiveMerge(earlier, later map[string]any) map[string]any {
	merged := maps.Clone(earlier)
	for key, value := range later {
		before, isMap := merged[key].(map[string]any)
		after, bothMaps := value.(map[string]any)
		if isMap && bothMaps {
			merged[key] = naiveMerge(before, after)
			continue
		}
		merged[key] = value
	}
	return merged
}

// plain strips a tree down to what naiveMerge gives.
func plain(s *Setting) any {
	switch s.Kind {
	case Map:
		values := make(map[string]any)
		for key, child := range s.Children {
			values[key] = plain(child)
		}
		return values
	case List:
		items := make([]any, 0, len(s.Items))
		for _, item := range s.Items {
			items = append(items, plain(item))
		}
		return items
	default:
		return s.Text
	}
}

// TestMergeAgainstNaive compares merged trees with those of a naive merge, and
// checks that each value stands where its origin says.
func TestMergeAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := make(Files)
		naive := make(map[string]any)
		for i := range rapid.IntRange(1, 4).Draw(t, "files") {
			name := fmt.Sprintf("%d.yaml", i)
			files[name] = drawFile(t, name)
			var decoded map[string]any
			if err := yaml.Unmarshal([]byte(files[name]), &decoded); err != nil {
				t.Fatal(err)
			}
			naive = naiveMerge(naive, decoded)
		}
		var problems Problems
		trees := (*Declaration)(nil).parse(files, &problems)
		tree := mergeTrees(files, trees, &problems)
		if len(problems) > 0 {
			t.Fatalf("got problems %v, want none", problems)
		}
		if again := mergeTrees(files, trees, &problems); !reflect.DeepEqual(again, tree) {
			t.Fatalf("got another tree from the same files, want the merge to change none of them")
		}
		if got, want := fmt.Sprint(plain(tree)), fmt.Sprint(naive); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		checkOrigins(t, files, tree)
	})
}

// checkOrigins fails unless the line that each value names holds it.
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

// TestMergeOrderIsThatOfNames merges files whose names sort by bytes.
func TestMergeOrderIsThatOfNames(t *testing.T) {
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

// FuzzLoad checks that no text makes Load panic, and that whatever it refuses
// it refuses with positions.
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
			if problem.Position.Line < 1 || problem.Position.Column < 1 || problem.Mend == "" {
				t.Errorf("got %+v, want a position and a mend", problem)
			}
		}
	})
}
