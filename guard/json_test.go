package guard

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// naiveShape returns the shape of a decoded document.
func naiveShape(value any) Shape {
	var s Shape
	add := func(child any) {
		inner := naiveShape(child)
		s.Depth = max(s.Depth, inner.Depth)
		s.Objects += inner.Objects
		s.Values += 1 + inner.Values
	}
	switch value := value.(type) {
	case map[string]any:
		s.Objects++
		for _, child := range value {
			add(child)
		}
		s.Depth++
	case []any:
		for _, child := range value {
			add(child)
		}
		s.Depth++
	}
	return s
}

func drawValue(t *rapid.T, depth int) any {
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return rapid.SampledFrom([]string{"", `{[,"\`, `\`, `"`, "a"}).Draw(t, "text")
	case 1:
		return 7
	}
	if depth == 0 {
		return nil
	}
	var list []any
	object := make(map[string]any)
	for range rapid.IntRange(0, 4).Draw(t, "size") {
		list = append(list, drawValue(t, depth-1))
		object[rapid.SampledFrom([]string{"a", "b", `{,"`, `\`}).Draw(t, "name")] = drawValue(t, depth-1)
	}
	if rapid.Bool().Draw(t, "list") {
		return append([]any{}, list...)
	}
	return object
}

// TestShapeOf compares the shape with that of the decoded document: too small a one would
// let a body through whose decoded form doesn't fit, too large a one refuse a legal body.
func TestShapeOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := drawValue(t, 4)
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		got, want := ShapeOf(data), naiveShape(value)
		if got.Depth != want.Depth || got.Objects != want.Objects {
			t.Fatalf("%s: got %+v, want %+v", data, got, want)
		}
		// Each list or object counts at most one value more.
		if got.Values < want.Values || got.Values > 2*want.Values+1 {
			t.Fatalf("%s: got %d values, want %d to %d", data, got.Values, want.Values, 2*want.Values+1)
		}
	})
}

// TestShapeOfInvalid guards against a crash on a document that isn't complete.
func TestShapeOfInvalid(t *testing.T) {
	for text, want := range map[string]Shape{
		`[[[`:        {Depth: 3, Values: 3},
		`"\`:         {},
		`{"a":"{{,`:  {Depth: 1, Objects: 1, Values: 1},
		`]]]{`:       {Objects: 1, Values: 1},
		`{},{},{}`:   {Depth: 1, Objects: 3, Values: 5},
		``:           {},
		`"a\"b",[1]`: {Depth: 1, Values: 2},
	} {
		if got := ShapeOf([]byte(text)); got != want {
			t.Errorf("%s: got %+v, want %+v", text, got, want)
		}
	}
}

// TestWithin checks each bound.
func TestWithin(t *testing.T) {
	most := Shape{Depth: 2, Objects: 3, Values: 4}
	if err := most.Within(most); err != nil {
		t.Errorf("got %v for the bounds themselves, want none", err)
	}
	for _, over := range []Shape{{Depth: 3}, {Objects: 4}, {Values: 5}} {
		if over.Within(most) == nil {
			t.Errorf("got no error for %+v, want one", over)
		}
	}
}
