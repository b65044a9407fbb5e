// Package schema reads settings written in INI against a declared table of
// sections and keys. Every key has a form, a unit, a default and bounds; what
// does not follow the table is refused with its file, line and key and with
// what would be right, all problems at once. The same table yields the
// reference page for operators.
package schema

import "fmt"

// Kind is the form in which a value is written.
type Kind int

// The forms of a value.
const (
	// Text is any text on one line.
	Text Kind = iota
	// Name is a name as ValidName accepts it.
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

// Key declares one key of a section. Default, Min and Max are written as an
// operator would write them; an empty bound is open.
type Key struct {
	Name     string
	Kind     Kind
	Unit     string // for the reference and for messages, as in "requests"
	Default  string
	Required bool // the key has no default and has to be written
	Min, Max string
	OneOf    []string // the only values of a Name; any name if empty
	Doc      string
}

// Section declares one section. A section with Named set may stand several
// times, each time with another name: [model "chat"].
type Section struct {
	Name     string
	Named    bool
	Required bool // the section has to be written; not for Named ones
	// Optional means that the section may be left out although it has required
	// keys, which are then empty.
	Optional bool
	Doc      string
	Keys     []Key
}

// Schema is the table of all sections of a file.
type Schema []Section

// Problem is one fault of a settings file. Line is zero when the fault has no
// line, as for a missing section.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns p on one line, as a compiler would print it.
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
