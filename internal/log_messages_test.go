package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// incidentsPage is the path of the page with the table of all log messages, relative to this directory.
const incidentsPage = "../docs/operating-incidents.md"

// messageRow matches a row of the table of log messages: message, levels, keys.
var messageRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([a-z, ]+) \\| ([^|]+) \\| [^|]+ \\|$")

// loggedMessage is a log call with its constant message and keys.
type loggedMessage struct {
	position token.Position
	message  string
	level    string // "" if the level is chosen at run time and therefore can't be checked
	keys     []string
}

// TestIncidentsPageListsLogMessages checks that the page lists exactly the messages that the programs log, with their
// levels and keys, since engineers on call search the page for messages that they find in the log.
func TestIncidentsPageListsLogMessages(t *testing.T) {
	page, err := os.ReadFile(incidentsPage)
	if err != nil {
		t.Fatal(err)
	}
	type row struct{ levels, keys string }
	rows := make(map[string]row)
	for _, match := range messageRow.FindAllStringSubmatch(string(page), -1) {
		rows[match[1]] = row{levels: match[2], keys: match[3]}
	}
	logged := make(map[string]bool)
	for _, m := range readLogCalls(t) {
		logged[m.message] = true
		r, ok := rows[m.message]
		if !ok {
			t.Errorf("%v: message %q has no row in %s", m.position, m.message, incidentsPage)
			continue
		}
		if m.level != "" && !slices.Contains(strings.Split(r.levels, ", "), m.level) {
			t.Errorf("%v: message %q is logged at level %s, %s lists %q", m.position, m.message, m.level, incidentsPage, r.levels)
		}
		for _, key := range m.keys {
			if !strings.Contains(r.keys, "`"+key+"`") {
				t.Errorf("%v: message %q has key %s, %s lists %s", m.position, m.message, key, incidentsPage, r.keys)
			}
		}
	}
	for message := range rows {
		if !logged[message] {
			t.Errorf("%s lists message %q, which no program logs", incidentsPage, message)
		}
	}
}

// readLogCalls returns the log calls in all packages except those of the layer testSupport. Test files are not read.
func readLogCalls(t *testing.T) []loggedMessage {
	t.Helper()
	var calls []loggedMessage
	for dir, layer := range layers {
		if layer == testSupport {
			continue
		}
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			if !strings.HasSuffix(name, "_test.go") {
				calls = append(calls, readLogCallsOfFile(t, name)...)
			}
		}
	}
	if len(calls) == 0 {
		t.Fatal("got no log calls, want some")
	}
	return calls
}

func readLogCallsOfFile(t *testing.T, fileName string) []loggedMessage {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, fileName, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var calls []loggedMessage
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if m, ok := parseLogCall(call); ok {
			m.position = fileSet.Position(call.Pos())
			calls = append(calls, m)
		}
		return true
	})
	return calls
}

// parseLogCall returns the message, the level and the constant keys of a log call. ok is false if the call isn't a log call
// or its message isn't a constant.
func parseLogCall(call *ast.CallExpr) (m loggedMessage, ok bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isLogger(method.X) {
		return loggedMessage{}, false
	}
	args := call.Args
	switch method.Sel.Name {
	case "Debug", "Info", "Warn", "Error":
		m.level = strings.ToLower(method.Sel.Name)
	case "Log":
		args = args[2:] // after the context and the level
	default:
		return loggedMessage{}, false
	}
	m.message, ok = stringConstant(args[0])
	for i := 1; i < len(args); i += 2 {
		if key, isConstant := stringConstant(args[i]); isConstant {
			m.keys = append(m.keys, key)
		}
	}
	return m, ok
}

// isLogger reports whether the name of an expression denotes a logger: log, x.log, x.Log or the package slog.
func isLogger(e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.Ident:
		return strings.EqualFold(e.Name, "log") || e.Name == "slog"
	case *ast.SelectorExpr:
		return strings.EqualFold(e.Sel.Name, "log")
	}
	return false
}

// stringConstant returns the value of an expression that is a string literal.
func stringConstant(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}
