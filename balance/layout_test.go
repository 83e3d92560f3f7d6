package balance

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxFileLines     = 500
	maxFunctionLines = 60
	maxLineColumns   = 120
)

// sourceFiles are the files of the package without its tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, name := range names {
		if !strings.HasSuffix(name, "_test.go") {
			files = append(files, name)
		}
	}
	if len(files) == 0 {
		t.Fatal("no source files found")
	}
	return files
}

// The decision module stays readable: short files, functions and lines, in all of its files.
func TestSizeLimits(t *testing.T) {
	for _, name := range sourceFiles(t) {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(string(text), "\n")
			if len(lines) > maxFileLines {
				t.Errorf("%d lines, %d at most", len(lines), maxFileLines)
			}
			for i, line := range lines {
				if utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")) > maxLineColumns {
					t.Errorf("line %d is over %d columns", i+1, maxLineColumns)
				}
			}
			checkFunctionLengths(t, name, text)
		})
	}
}

func checkFunctionLengths(t *testing.T, name string, text []byte) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
		if lines > maxFunctionLines {
			t.Errorf("%s: %d lines, %d at most", function.Name.Name, lines, maxFunctionLines)
		}
	}
}

// The deployment names each file of the decision module as its policy.
func TestPolicyNamesAllFiles(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var policy string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "policy = ") {
			policy = line
		}
	}
	files := sourceFiles(t)
	for _, name := range files {
		if !strings.Contains(policy, `"balance/`+name+`"`) {
			t.Errorf("policy does not name balance/%s", name)
		}
	}
	if named := strings.Count(policy, `"balance/`); named != len(files) {
		t.Errorf("policy names %d files, the package has %d", named, len(files))
	}
}
