// Package schema parses INI settings files against a declared schema of sections
// and keys. Each key has a kind, a unit, a default and bounds. All violations are
// reported at once, each with its file, line, section and key and the expected
// form. The same schema generates the reference page for operators.
package schema

import "fmt"

// Kind is the type and syntax of a value.
type Kind int

// The kinds of values.
const (
	// Text is any text on one line.
	Text Kind = iota
	// Name is a name that ValidName accepts.
	Name
	// Names are names separated by commas.
	Names
	// Integer is a whole number without a unit.
	Integer
	// Number is a decimal number without a unit.
	Number
	// Duration is a number with a unit of time, as in 250ms.
	Duration
	// Size is a whole number of bytes with a unit, as in 64KiB.
	Size
	// Boolean is true or false.
	Boolean
	// Address is a host and port, as in 10.0.0.7:8080.
	Address
	// Addresses are addresses separated by commas.
	Addresses
	// URL is an absolute http or https URL.
	URL
)

// Key declares one key of a section. Default, Min and Max use the syntax of the
// key's Kind. An empty Min or Max means no bound.
type Key struct {
	Name     string
	Kind     Kind
	Unit     string // shown in the reference and in messages, for example "requests"
	Default  string
	Required bool // the key must be set; it has no default
	Min, Max string
	OneOf    []string // the allowed values of a Name; any valid name if empty
	Doc      string
}

// Section declares one section. A Named section may occur several times, each
// with a different name, as in [model "chat"].
type Section struct {
	Name     string
	Named    bool
	Required bool // the section must be present; not used for Named sections
	// Optional means that the section may be absent although it has required
	// keys, which are then empty.
	Optional bool
	Doc      string
	Keys     []Key
}

// Schema declares all sections of a file.
type Schema []Section

// Problem describes one error in a settings file. Line is zero if the error has
// no line, for instance if a section is missing.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String formats p like a compiler error: "file:line: [section] key: message".
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	switch {
	case p.Key != "":
		return fmt.Sprintf("%s: [%s] %s: %s", where, p.Section, p.Key, p.Message)
	case p.Section != "":
		return fmt.Sprintf("%s: [%s]: %s", where, p.Section, p.Message)
	default:
		return fmt.Sprintf("%s: %s", where, p.Message)
	}
}

func (s Schema) section(name string) (Section, bool) {
	for _, sec := range s {
		if sec.Name == name {
			return sec, true
		}
	}
	return Section{}, false
}

func (s Section) key(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}
