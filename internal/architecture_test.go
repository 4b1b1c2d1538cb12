package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// architecturePage is the page that describes the packages, relative to this directory.
const architecturePage = "../docs/architecture.md"

// modulePrefix is the prefix of the import paths of the module's packages.
const modulePrefix = "sagevale/"

// testSupport is the layer of packages that only tests and fleetload import. Packages of this layer may import each other.
const testSupport = "tests"

// layers maps the directory of each package of the module to its layer. A package may import only packages of lower layers.
var layers = map[string]string{
	"cmd/sagevale":                 "9",
	"internal/transport":           "8",
	"internal/scheduler":           "7",
	"internal/autoscaling":         "6",
	"internal/placement":           "5",
	"internal/relay":               "5",
	"internal/upgradecontrol":      "5",
	"internal/cluster":             "4",
	"internal/leadership":          "4",
	"internal/protocol":            "4",
	"internal/wire/coordination":   "4",
	"internal/api":                 "3",
	"internal/archive":             "3",
	"internal/config":              "3",
	"internal/groupcommit":         "3",
	"internal/activator":           "2",
	"internal/peer":                "2",
	"internal/storage":             "2",
	"internal/activation":          "1",
	"internal/admission":           "1",
	"internal/classstats":          "1",
	"internal/clock":               "1",
	"internal/cloud":               "1",
	"internal/failures":            "1",
	"internal/fencing":             "1",
	"internal/provisioning":        "1",
	"internal/telemetry":           "1",
	"internal/upgrade":             "1",
	"internal/worker":              "1",
	"internal/storage/storagetest": testSupport,
	"internal/cluster/clustertest": testSupport,
	"internal/loopbacktest":        testSupport,
	"internal/fleetload":           testSupport,
	"cmd/fleetload":                testSupport,
}

// sourcePackage holds the imports and declarations of a package, without its test files.
type sourcePackage struct {
	name    string
	imports []string        // directories of imported packages of the module, sorted
	members map[string]bool // keys: "Name" for a declaration, "Type.Member" for a method, field or interface method
}

// TestImportsGoDownwards checks the imports of each package, without its test files, against the layers.
func TestImportsGoDownwards(t *testing.T) {
	packages := readPackages(t)
	for dir := range layers {
		if packages[dir] == nil {
			t.Errorf("layers lists %s, which is not a package", dir)
		}
	}
	for dir, p := range packages {
		layer, ok := layers[dir]
		if !ok {
			t.Errorf("layers does not list package %s", dir)
			continue
		}
		for _, imported := range p.imports {
			if !mayImport(layer, layers[imported]) {
				t.Errorf("%s (layer %s) imports %s (layer %s), want only lower layers", dir, layer, imported, layers[imported])
			}
		}
	}
}

// mayImport reports whether a package of the layer named layer may import a package of the layer named imported. An empty
// name means that the package isn't listed in layers.
func mayImport(layer, imported string) bool {
	if layer == testSupport {
		return imported != ""
	}
	return imported != testSupport && imported != "" && imported < layer
}

// TestArchitecturePageListsPackages checks that the architecture page has one row for each package, with its layer and
// imports.
func TestArchitecturePageListsPackages(t *testing.T) {
	packages := readPackages(t)
	rows := pageRows(t)
	for dir, p := range packages {
		row, ok := rows[dir]
		if !ok {
			t.Errorf("%s has no row for package %s", architecturePage, dir)
			continue
		}
		if row.layer != layers[dir] {
			t.Errorf("%s: layer of %s: got %s, want %s", architecturePage, dir, row.layer, layers[dir])
		}
		if row.description == "" {
			t.Errorf("%s: %s has no description", architecturePage, dir)
		}
		if want := shortNames(p.imports); row.imports != want {
			t.Errorf("%s: imports of %s: got %q, want %q", architecturePage, dir, row.imports, want)
		}
	}
	for dir := range rows {
		if packages[dir] == nil {
			t.Errorf("%s has a row for %s, which is not a package", architecturePage, dir)
		}
	}
}

// TestArchitecturePageNamesExistingCode checks the references to code on the architecture page: each `package.Name` or
// `package.Type.Member` must exist.
func TestArchitecturePageNamesExistingCode(t *testing.T) {
	byName := make(map[string]*sourcePackage)
	for dir, p := range readPackages(t) {
		if strings.HasPrefix(dir, "internal/") {
			byName[p.name] = p
		}
	}
	found := 0
	for _, match := range codeReference.FindAllStringSubmatch(readPage(t), -1) {
		p := byName[match[1]]
		if p == nil {
			continue // not a package: a key, a property or a file
		}
		found++
		if !p.members[match[2]] {
			t.Errorf("%s names %s.%s, which doesn't exist", architecturePage, match[1], match[2])
		}
	}
	if found == 0 {
		t.Errorf("%s: got no references to code, want at least one", architecturePage)
	}
}

var (
	// codeReference matches a reference to code: a package, a declaration and optionally its member.
	codeReference = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+(?:\\.[A-Za-z]+)?)`")
	// packageRow matches a row of the table of packages: layer, directory, description, imports.
	packageRow = regexp.MustCompile("(?m)^\\| (\\w+) \\| `((?:cmd|internal)/[\\w/]+)` \\| ([^|]*) \\|([^|]*)\\|$")
)

// pageRow is a row of the page's table of packages.
type pageRow struct{ layer, description, imports string }

func pageRows(t *testing.T) map[string]pageRow {
	t.Helper()
	rows := make(map[string]pageRow)
	for _, match := range packageRow.FindAllStringSubmatch(readPage(t), -1) {
		if _, twice := rows[match[2]]; twice {
			t.Errorf("%s has two rows for %s", architecturePage, match[2])
		}
		rows[match[2]] = pageRow{layer: match[1], description: strings.TrimSpace(match[3]), imports: strings.TrimSpace(match[4])}
	}
	return rows
}

func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// shortNames formats a list of packages as on the architecture page: separated by commas, without the prefix "internal/".
func shortNames(dirs []string) string {
	names := make([]string, 0, len(dirs))
	for _, dir := range dirs {
		names = append(names, strings.TrimPrefix(dir, "internal/"))
	}
	return strings.Join(names, ", ")
}

// readPackages parses the Go files under cmd and internal, except tests, and returns the packages by directory.
func readPackages(t *testing.T) map[string]*sourcePackage {
	t.Helper()
	packages := make(map[string]*sourcePackage)
	fileSet := token.NewFileSet()
	readFile := func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == "testdata" {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
			return nil
		}
		parsed, err := parser.ParseFile(fileSet, file, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		dir := path.Dir(strings.TrimPrefix(filepath.ToSlash(file), "../"))
		if packages[dir] == nil {
			packages[dir] = &sourcePackage{name: parsed.Name.Name, members: make(map[string]bool)}
		}
		return packages[dir].addFile(parsed)
	}
	for _, root := range []string{"../cmd", "../internal"} {
		if err := filepath.WalkDir(root, readFile); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range packages {
		slices.Sort(p.imports)
		p.imports = slices.Compact(p.imports)
	}
	return packages
}

// addFile adds the imports and declarations of a file to the package.
func (p *sourcePackage) addFile(file *ast.File) error {
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return err
		}
		if dir, ok := strings.CutPrefix(imported, modulePrefix); ok {
			p.imports = append(p.imports, dir)
		}
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			p.members[receiverPrefix(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				p.addDeclaration(spec)
			}
		}
	}
	return nil
}

func (p *sourcePackage) addDeclaration(spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			p.members[name.Name] = true
		}
	case *ast.TypeSpec:
		p.members[s.Name.Name] = true
		for _, field := range fieldsOf(s.Type) {
			for _, name := range field.Names {
				p.members[s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// fieldsOf returns the fields of a struct, or the methods of an interface.
func fieldsOf(expr ast.Expr) []*ast.Field {
	switch e := expr.(type) {
	case *ast.StructType:
		return e.Fields.List
	case *ast.InterfaceType:
		return e.Methods.List
	}
	return nil
}

// receiverPrefix returns the name of the receiver's type, followed by a dot. It returns "" for a function without a receiver.
func receiverPrefix(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	expr := f.Recv.List[0].Type
	if star, ok := expr.(*ast.StarExpr); ok {
		expr = star.X
	}
	if index, ok := expr.(*ast.IndexExpr); ok {
		expr = index.X
	}
	if name, ok := expr.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}
