package policy

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

// Engineers on call must be able to read this package under time pressure: no file may be too long to read in one go, no
// function longer than a screen, no line too wide, and the package must have a doc comment.
func TestPackageStaysReadable(t *testing.T) {
	const maxFileLines, maxColumns, maxFunctionLines = 300, 110, 50
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	documented := false
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s: %d lines, want at most %d", path, len(lines), maxFileLines)
		}
		for n, line := range lines {
			if utf8.RuneCountInString(line) > maxColumns {
				t.Errorf("%s:%d: line has more than %d characters", path, n+1, maxColumns)
			}
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, text, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		documented = documented || file.Doc != nil
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			if n := files.Position(function.End()).Line - files.Position(function.Pos()).Line; n > maxFunctionLines {
				t.Errorf("%s: function %s has %d lines, want at most %d", path, function.Name.Name, n, maxFunctionLines)
			}
		}
	}
	if !documented {
		t.Error("package has no doc comment, want one")
	}
}
