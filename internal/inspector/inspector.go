// Package inspector reads strict YAML files and collects what is wrong with
// them, each finding with its place, so that all are reported together.
package inspector

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Finding is one fault and its place. Line and Column count from 1; 0 means
// that the place is the whole file.
type Finding struct {
	File    string
	Line    int
	Column  int
	Message string
}

// String returns the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings is an error made of every fault found.
type Findings []Finding

// Error lists the findings, a line each.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed YAML document together with its findings.
type Document struct {
	File     string
	Findings Findings
	// IsInvalidYAML is set when the file is not YAML at all, so that nothing in it
	// can be checked.
	IsInvalidYAML bool

	root yaml.Node
}

var typeErrorPlace = regexp.MustCompile(`^line (\d+): (.*)$`)

// Load reads a file into target. Unknown keys and wrong types become findings;
// the error is for a file that cannot be read at all.
func Load(name string, target any) (*Document, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, data, target), nil
}

// Parse reads data into target. The name is used in findings only.
func Parse(name string, data []byte, target any) *Document {
	d := &Document{File: name}
	if err := yaml.Unmarshal(data, &d.root); err != nil {
		d.addError(err)
		d.IsInvalidYAML = true
		return d
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(target); err != nil && !errors.Is(err, io.EOF) {
		d.addError(err)
	}
	return d
}

func (d *Document) addError(err error) {
	var te *yaml.TypeError
	messages := []string{strings.TrimPrefix(err.Error(), "yaml: ")}
	if errors.As(err, &te) {
		messages = te.Errors
	}
	for _, m := range messages {
		f := Finding{File: d.File, Message: m}
		if parts := typeErrorPlace.FindStringSubmatch(m); parts != nil {
			f.Line, _ = strconv.Atoi(parts[1])
			f.Column = 1
			f.Message = parts[2]
		}
		d.Findings = append(d.Findings, f)
	}
}

// AddFinding records a fault of the value at path. The steps of a path are keys of
// mappings and decimal numbers of places in lists.
func (d *Document) AddFinding(path []string, format string, args ...any) {
	f := Finding{File: d.File, Message: fmt.Sprintf(format, args...)}
	if n := d.find(path); n != nil {
		f.Line, f.Column = n.Line, n.Column
	}
	d.Findings = append(d.Findings, f)
}

// find returns the node at path, or the nearest one above it that exists.
func (d *Document) find(path []string) *yaml.Node {
	if len(d.root.Content) == 0 {
		return nil
	}
	n := d.root.Content[0]
	for _, step := range path {
		next := child(n, step)
		if next == nil {
			return n
		}
		n = next
	}
	return n
}

func child(n *yaml.Node, step string) *yaml.Node {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == step {
				return n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		i, err := strconv.Atoi(step)
		if err == nil && i >= 0 && i < len(n.Content) {
			return n.Content[i]
		}
	}
	return nil
}

// Err returns the findings sorted by place, or nil when there are none.
func (d *Document) Err() error {
	if len(d.Findings) == 0 {
		return nil
	}
	slices.SortStableFunc(d.Findings, func(a, b Finding) int { return a.Line - b.Line })
	return d.Findings
}
