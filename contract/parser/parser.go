// Package parser reads configuration documents and reports every error in one
// with its file, line and column.
package parser

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"

	"foxtaillug.org/contract"
)

// Fault is one error in a document, with its position in the file.
type Fault struct {
	file    string
	line    int
	column  int
	message string
	hint    string
}

// File returns the name of the document's file.
func (f Fault) File() string { return f.file }

// Line returns the line, counted from 1; it is 1 if the position is not known.
func (f Fault) Line() int { return f.line }

// Column returns the column, counted from 1; it is 1 if the position is not
// known.
func (f Fault) Column() int { return f.column }

// Message returns what is wrong.
func (f Fault) Message() string { return f.message }

// Hint returns how to fix the fault, or "".
func (f Fault) Hint() string { return f.hint }

// String returns the fault as one line of text.
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d:%d: %s", f.file, f.line, f.column, f.message)
	if f.hint != "" {
		text += " (" + f.hint + ")"
	}
	return text
}

// Faults is all faults of a document, as an error.
type Faults []Fault

// Error returns one line per fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads and checks a document and fills in its defaults. The error of an
// invalid document is of type Faults.
func Parse(file string, text []byte) (doc contract.Document, err error) {
	tree, err := yamlparser.ParseBytes(text, 0)
	if err != nil {
		return doc, Faults{syntaxFault(file, err)}
	}
	err = yaml.UnmarshalWithOptions(text, &doc, yaml.Strict())
	if err != nil {
		return doc, Faults{syntaxFault(file, err)}
	}
	l := locator{file: file, tree: tree}
	if faults := l.locate(Check(doc)); len(faults) > 0 {
		return doc, faults
	}
	return doc.WithDefaults(), nil
}

// syntaxFault converts an error of the YAML library to a fault.
func syntaxFault(file string, err error) Fault {
	f := Fault{file: file, line: 1, column: 1, message: err.Error()}
	var yerr yaml.Error
	if !eris.As(err, &yerr) {
		return f
	}
	f.message = yerr.GetMessage()
	if tok := yerr.GetToken(); tok != nil && tok.Position != nil {
		f.line, f.column = tok.Position.Line, tok.Position.Column
	}
	return f
}

// locator finds the positions of problems in a document's text.
type locator struct {
	file string
	tree *ast.File
}

// locate converts problems to faults with a line and a column.
func (l locator) locate(problems []Problem) Faults {
	faults := make(Faults, 0, len(problems))
	for _, p := range problems {
		line, column := l.position(p.path)
		faults = append(faults, Fault{
			file: l.file, line: line, column: column,
			message: p.path + ": " + p.message, hint: p.hint,
		})
	}
	return faults
}

// position returns the position of a path, or of its nearest parent that is in
// the document.
func (l locator) position(path string) (line, column int) {
	for path != "" {
		if line, column, ok := l.lookUp(path); ok {
			return line, column
		}
		path = parent(path)
	}
	return 1, 1
}

// lookUp returns the position of a path.
func (l locator) lookUp(path string) (line, column int, ok bool) {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0, 0, false
	}
	node, err := p.FilterFile(l.tree)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, 0, false
	}
	pos := node.GetToken().Position
	return pos.Line, pos.Column, true
}

// parent returns a path without its last element.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
