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

// sourceFiles returns the names of the package's source files without tests.
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

// All source files of the decision module stay within limits on the length of files, functions and lines, so that they
// stay readable.
func TestSizeLimits(t *testing.T) {
	for _, name := range sourceFiles(t) {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(string(text), "\n")
			if len(lines) > maxFileLines {
				t.Errorf("%d lines, want at most %d", len(lines), maxFileLines)
			}
			for i, line := range lines {
				if utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")) > maxLineColumns {
					t.Errorf("line %d is longer than %d columns", i+1, maxLineColumns)
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
			t.Errorf("%s: %d lines, want at most %d", function.Name.Name, lines, maxFunctionLines)
		}
	}
}

// The policy setting of the deployment lists each file of the decision module.
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
			t.Errorf("policy does not list balance/%s", name)
		}
	}
	if named := strings.Count(policy, `"balance/`); named != len(files) {
		t.Errorf("policy lists %d files, but the package has %d", named, len(files))
	}
}
