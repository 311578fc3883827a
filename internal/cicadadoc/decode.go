package cicadadoc

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

type (
	// Problem is one mistake in a document. Line and Column start at one; they
	// are zero if the position is unknown.
	Problem struct {
		Line    int    `json:"line"`
		Column  int    `json:"column"`
		Path    string `json:"path"`
		Message string `json:"message"`
		Remedy  string `json:"remedy"`
	}

	// InvalidError lists the problems of a document: the first syntax error, or
	// all problems that validation finds.
	InvalidError struct {
		Name     string
		Problems []Problem
	}

	// valueError reports a value with an invalid format and the token that holds it.
	valueError struct {
		token *token.Token
		cause error
	}

	// Source is a decoded document together with its syntax tree, which gives the
	// positions of problems.
	Source struct {
		name string
		file *ast.File
		doc  *Document
	}
)

// Error returns the problems, one on each line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s: %s (%s)", e.Name, p.Line, p.Column, p.Path, p.Message, p.Remedy)
	}
	return strings.Join(lines, "\n")
}

func (e *valueError) Error() string { return e.cause.Error() }

// Name returns the name that was passed to Decode, usually the file name.
func (s *Source) Name() string { return s.name }

// Document returns the decoded document.
func (s *Source) Document() *Document { return s.doc }

// Decode parses and validates a document. Unknown fields and duplicate keys are
// errors. It returns an *InvalidError if the text is not a valid document.
func Decode(name string, text []byte) (*Source, error) {
	var doc Document
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.DisallowUnknownField())
	if err := dec.Decode(&doc); err != nil {
		return nil, &InvalidError{Name: name, Problems: []Problem{syntaxProblem(err)}}
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, &InvalidError{Name: name, Problems: []Problem{syntaxProblem(err)}}
	}
	s := &Source{name: name, file: file, doc: &doc}
	if problems := s.check(); len(problems) > 0 {
		return nil, &InvalidError{Name: name, Problems: problems}
	}
	return s, nil
}

// Problemf returns a problem at a YAML path such as $.budgets[2].prepaid.
func (s *Source) Problemf(path, remedy, format string, args ...any) Problem {
	p := Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	p.Line, p.Column = s.position(path)
	return p
}

// position returns the line and column of a YAML path. For a missing field it
// returns the position of the nearest parent that is present.
func (s *Source) position(path string) (line, column int) {
	for path != "" && path != "$" {
		yp, err := yaml.PathString(path)
		if err != nil {
			return 0, 0
		}
		node, err := yp.FilterFile(s.file)
		if err == nil && node != nil {
			return nodePosition(node)
		}
		path = parentPath(path)
	}
	return 1, 1
}

// nodePosition returns the start of a node; the start of a mapping is its first key.
func nodePosition(node ast.Node) (line, column int) {
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return nodePosition(n.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return nodePosition(n.Key)
	}
	pos := node.GetToken().Position
	return pos.Line, pos.Column
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func syntaxProblem(err error) Problem {
	p := Problem{
		Path:    "$",
		Message: err.Error(),
		Remedy:  "see the document reference for the fields and their forms",
	}
	var value *valueError
	if errors.As(err, &value) {
		p.Message = value.cause.Error()
		p.Line, p.Column = value.token.Position.Line, value.token.Position.Column
	}
	var yerr yaml.Error
	if errors.As(err, &yerr) {
		p.Message = yerr.GetMessage()
		if tok := yerr.GetToken(); tok != nil {
			p.Line, p.Column = tok.Position.Line, tok.Position.Column
			p.Path = tok.Value
		}
	}
	return p
}
