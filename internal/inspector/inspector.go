// Package inspector decodes YAML files strictly and collects all errors in them with
// their positions, so that they are reported together and not one at a time.
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

// Finding is one error in a file and its position. Line and Column count from 1; both are
// 0 if the error concerns the whole file.
type Finding struct {
	File    string
	Line    int
	Column  int
	Message string
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings is an error that holds all findings.
type Findings []Finding

// Error returns the findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed YAML document and its findings.
type Document struct {
	File     string
	Findings Findings
	// IsInvalidYAML is set if the file is not valid YAML. Its values were not decoded, so
	// they must not be checked.
	IsInvalidYAML bool

	root yaml.Node
}

var lineErrorPattern = regexp.MustCompile(`^line (\d+): (.*)$`)

// Load decodes a file into target. Unknown keys and wrong types become findings; Load
// returns an error only if the file cannot be read.
func Load(name string, target any) (*Document, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, data, target), nil
}

// Parse decodes data into target. The name is used in findings only.
func Parse(name string, data []byte, target any) *Document {
	d := &Document{File: name}
	if err := yaml.Unmarshal(data, &d.root); err != nil {
		d.addYAMLError(err)
		d.IsInvalidYAML = true
		return d
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(target); err != nil && !errors.Is(err, io.EOF) {
		d.addYAMLError(err)
	}
	return d
}

func (d *Document) addYAMLError(err error) {
	var typeError *yaml.TypeError
	messages := []string{strings.TrimPrefix(err.Error(), "yaml: ")}
	if errors.As(err, &typeError) {
		messages = typeError.Errors
	}
	for _, m := range messages {
		f := Finding{File: d.File, Message: m}
		if parts := lineErrorPattern.FindStringSubmatch(m); parts != nil {
			f.Line, _ = strconv.Atoi(parts[1])
			f.Column = 1
			f.Message = parts[2]
		}
		d.Findings = append(d.Findings, f)
	}
}

// AddFinding records an error in the value at path. The elements of a path are keys of
// mappings and decimal indexes of sequences.
func (d *Document) AddFinding(path []string, format string, args ...any) {
	f := Finding{File: d.File, Message: fmt.Sprintf(format, args...)}
	if n := d.findNode(path); n != nil {
		f.Line, f.Column = n.Line, n.Column
	}
	d.Findings = append(d.Findings, f)
}

// findNode returns the node at path, or its nearest existing ancestor.
func (d *Document) findNode(path []string) *yaml.Node {
	if len(d.root.Content) == 0 {
		return nil
	}
	n := d.root.Content[0]
	for _, key := range path {
		child := childNode(n, key)
		if child == nil {
			return n
		}
		n = child
	}
	return n
}

func childNode(n *yaml.Node, key string) *yaml.Node {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == key {
				return n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		i, err := strconv.Atoi(key)
		if err == nil && i >= 0 && i < len(n.Content) {
			return n.Content[i]
		}
	}
	return nil
}

// Err sorts the findings by line and returns them, or nil if there are none.
func (d *Document) Err() error {
	if len(d.Findings) == 0 {
		return nil
	}
	slices.SortStableFunc(d.Findings, func(a, b Finding) int { return a.Line - b.Line })
	return d.Findings
}
