package doccheck_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// declarations holds the names that a module declares. Packages are identified by name, not by path, so that a
// reference resolves if any package of that name declares it.
type declarations struct {
	packages map[string]map[string]bool // package -> identifiers at package level
	types    map[typeName]*typeMembers
	imported map[string]bool // last elements of the import paths in all files
	tests    map[string]bool // functions of all packages, tests among them
	files    map[string]bool // names of all Go files
}

// typeName is a type with the name of its package.
type typeName struct {
	pkg, name string
}

// typeMembers are the fields and methods of a type, and the embedded or aliased types whose members it inherits.
type typeMembers struct {
	names    map[string]bool
	inherits []typeName
}

// parseModule parses the Go files of the module at root, without those of nested modules.
func parseModule(t *testing.T, root string) *declarations {
	t.Helper()
	paths, err := goFiles(root)
	if err != nil {
		t.Fatal(err)
	}
	files := make([]*ast.File, len(paths))
	parseErrors := make([]error, len(paths))
	fileSet := token.NewFileSet()
	var parsing sync.WaitGroup
	for index, path := range paths {
		parsing.Go(func() {
			files[index], parseErrors[index] = parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
		})
	}
	parsing.Wait()
	found := &declarations{
		packages: map[string]map[string]bool{},
		types:    map[typeName]*typeMembers{},
		imported: map[string]bool{},
		tests:    map[string]bool{},
		files:    map[string]bool{},
	}
	for index, file := range files {
		if parseErrors[index] != nil {
			t.Fatal(parseErrors[index])
		}
		found.files[filepath.Base(paths[index])] = true
		found.addFile(file)
	}
	return found
}

// goFiles returns the Go files below root, except those in testdata folders, hidden folders and nested modules.
func goFiles(root string) ([]string, error) {
	var paths []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != root && isSkipped(path, entry.Name()) {
				return fs.SkipDir
			}
			return nil
		}
		if strings.HasSuffix(path, ".go") {
			paths = append(paths, path)
		}
		return nil
	})
	return paths, err
}

// isSkipped reports whether a folder and those below it contain no package of the module.
func isSkipped(path, name string) bool {
	if name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_") {
		return true
	}
	_, err := os.Stat(filepath.Join(path, "go.mod"))
	return err == nil
}

// addFile adds the declarations of a file. External test packages count as the package that they test.
func (d *declarations) addFile(file *ast.File) {
	pkg := strings.TrimSuffix(file.Name.Name, "_test")
	if d.packages[pkg] == nil {
		d.packages[pkg] = map[string]bool{}
	}
	for _, imported := range file.Imports {
		d.imported[path.Base(strings.Trim(imported.Path.Value, `"`))] = true
	}
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			d.addFunction(pkg, declaration)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				d.addSpec(pkg, spec)
			}
		}
	}
}

// addFunction adds a function or a method.
func (d *declarations) addFunction(pkg string, function *ast.FuncDecl) {
	name := function.Name.Name
	if function.Recv == nil {
		d.packages[pkg][name] = true
		d.tests[name] = true
		return
	}
	if receiver, ok := namedType(pkg, function.Recv.List[0].Type); ok {
		d.members(receiver).names[name] = true
	}
}

// addSpec adds constants, variables or a type.
func (d *declarations) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.packages[pkg][name.Name] = true
		}
	case *ast.TypeSpec:
		d.packages[pkg][spec.Name.Name] = true
		d.addType(pkg, spec)
	}
}

// addType adds a type's fields, interface methods and embedded types. For an alias and for a type that is defined by
// another named type, it adds that type.
func (d *declarations) addType(pkg string, spec *ast.TypeSpec) {
	members := d.members(typeName{pkg, spec.Name.Name})
	var fields *ast.FieldList
	switch definition := spec.Type.(type) {
	case *ast.StructType:
		fields = definition.Fields
	case *ast.InterfaceType:
		fields = definition.Methods
	default:
		if other, ok := namedType(pkg, definition); ok {
			members.inherits = append(members.inherits, other)
		}
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			members.names[name.Name] = true
		}
		embedded, ok := namedType(pkg, field.Type)
		if len(field.Names) == 0 && ok {
			members.names[embedded.name] = true
			members.inherits = append(members.inherits, embedded)
		}
	}
}

// members returns the members of a type; it creates an empty entry for a new type.
func (d *declarations) members(name typeName) *typeMembers {
	if d.types[name] == nil {
		d.types[name] = &typeMembers{names: map[string]bool{}}
	}
	return d.types[name]
}

// namedType returns the type that an expression names, without pointers and type arguments. It does not resolve
// packages that are imported under another name.
func namedType(pkg string, expression ast.Expr) (typeName, bool) {
	switch expression := expression.(type) {
	case *ast.Ident:
		return typeName{pkg, expression.Name}, true
	case *ast.StarExpr:
		return namedType(pkg, expression.X)
	case *ast.IndexExpr:
		return namedType(pkg, expression.X)
	case *ast.IndexListExpr:
		return namedType(pkg, expression.X)
	case *ast.SelectorExpr:
		if imported, ok := expression.X.(*ast.Ident); ok {
			return typeName{imported.Name, expression.Sel.Name}, true
		}
	}
	return typeName{}, false
}

// hasTestPrefix reports whether the name of some test begins with prefix.
func (d *declarations) hasTestPrefix(prefix string) bool {
	for test := range d.tests {
		if strings.HasPrefix(test, prefix) {
			return true
		}
	}
	return false
}

// resolves reports whether a reference is declared: qualifier.name if member is empty, or else qualifier.name.member.
// The qualifier is a package or a type. Any name resolves in an imported package of another module, since those
// packages are not parsed.
func (d *declarations) resolves(qualifier, name, member string) bool {
	if identifiers, isPackage := d.packages[qualifier]; isPackage {
		return identifiers[name] && (member == "" || d.hasMember(typeName{qualifier, name}, member))
	}
	isType := false
	for candidate := range d.types {
		if candidate.name != qualifier {
			continue
		}
		isType = true
		if d.hasMember(candidate, name) {
			return true
		}
	}
	// A key of a configuration document, such as limits.body_bytes, looks like an identifier; it has no capital letters.
	return d.imported[qualifier] || !isType && !ast.IsExported(name)
}

// hasMember reports whether a type has a field or method of a name, its own or an inherited one.
func (d *declarations) hasMember(name typeName, member string) bool {
	members := d.types[name]
	if members == nil {
		return false
	}
	if members.names[member] {
		return true
	}
	for _, inherited := range members.inherits {
		if inherited != name && d.hasMember(inherited, member) {
			return true
		}
	}
	return false
}
