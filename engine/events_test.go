package engine_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// managementPackages are the packages of a management node.
var managementPackages = []string{"claim", "core", "engine", "guard", "infra", "intake", "link", "owner", "pool", "queue", "relay", "sched", "sink"}

// logLine is a log statement.
type logLine struct {
	Package string
	Message string
	Keys    []string
}

// logLines returns the log statements of a file.
func logLines(name string, file *ast.File) []logLine {
	var lines []logLine
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		messageArg := 0
		switch selector.Sel.Name {
		case "Info", "Warn":
		case "Error":
			messageArg = 1
		default:
			return true
		}
		if receiver := fmt.Sprint(exprName(selector.X)); !strings.HasSuffix(receiver, "logger") || len(call.Args) <= messageArg {
			return true
		}
		if message := stringLiteral(call.Args[messageArg]); message != "" {
			line := logLine{Package: name, Message: message}
			for i := messageArg + 1; i < len(call.Args); i += 2 {
				line.Keys = append(line.Keys, stringLiteral(call.Args[i]))
			}
			lines = append(lines, line)
		}
		return true
	})
	return lines
}

// exprName returns the last name of an expression such as c.logger.
func exprName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	default:
		return ""
	}
}

func stringLiteral(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return text
}

// parseSources parses managementPackages without their tests.
func parseSources(t *testing.T) map[string][]*ast.File {
	t.Helper()
	files := make(map[string][]*ast.File)
	for _, name := range managementPackages {
		paths, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			files[name] = append(files[name], file)
		}
	}
	return files
}

const eventsDoc = "../docs/EVENTS.md"

// TestEventsAreListed checks that the table of log lines in the documentation is up
// to date; UPDATE_GOLDEN=1 rewrites it.
func TestEventsAreListed(t *testing.T) {
	var rows []string
	for name, files := range parseSources(t) {
		for _, file := range files {
			for _, line := range logLines(name, file) {
				rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", line.Message, line.Package, strings.Join(line.Keys, ", ")))
			}
		}
	}
	slices.Sort(rows)
	want := strings.Join(slices.Compact(rows), "")
	page := readFile(t, eventsDoc)
	const begin, end = "| line | package | keys |\n|---|---|---|\n", "\n## Metrics"
	from, to := strings.Index(page, begin)+len(begin), strings.Index(page, end)
	if from < len(begin) || to < from {
		t.Fatalf("got no table of log lines in %s, want one", eventsDoc)
	}
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(eventsDoc, []byte(page[:from]+want+page[to:]), fs.FileMode(0o644)); err != nil {
			t.Fatal(err)
		}
		return
	}
	if got := page[from:to]; got != want {
		t.Errorf("got the table\n%s\nwant\n%s", got, want)
	}
}

// TestMetricsAreListed checks that the documentation lists all metrics in the
// sources and no others.
func TestMetricsAreListed(t *testing.T) {
	used := make(map[string]bool)
	for _, files := range parseSources(t) {
		for _, file := range files {
			ast.Inspect(file, func(n ast.Node) bool {
				if lit, ok := n.(*ast.BasicLit); ok {
					if text := stringLiteral(lit); strings.HasPrefix(text, "rattanpath_") {
						name, _, _ := strings.Cut(text, "{")
						used[name] = true
					}
				}
				return true
			})
		}
	}
	documented := make(map[string]bool)
	for _, name := range regexp.MustCompile("`(rattanpath_[a-z_]+)`").FindAllStringSubmatch(readFile(t, eventsDoc), -1) {
		documented[name[1]] = true
	}
	for name := range used {
		if !documented[name] {
			t.Errorf("got no entry for metric %s in %s, want its unit and meaning", name, eventsDoc)
		}
	}
	for name := range documented {
		if !used[name] {
			t.Errorf("got metric %s in %s, want only metrics in the sources", name, eventsDoc)
		}
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
