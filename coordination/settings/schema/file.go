package schema

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"gopkg.in/ini.v1"
)

// File holds the values of a valid settings file. It is immutable.
type File struct {
	name   string
	schema Schema
	values []Values
}

// Values holds the values of one section, including defaults.
type Values struct {
	// Name is the name of a named section, as in [model "chat"].
	Name string
	// Line is the line of the section header, zero if the section is absent.
	Line int

	file    string
	section Section
	keys    map[string]value
}

// iniOptions makes the INI library parse lines as the scanner does: one line per
// value, no continuation lines, inline comments only after a space.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// Parse parses text and validates it against s. The file name is used in problems
// only. If there are problems, it returns all of them and a nil File.
func (s Schema) Parse(file string, text []byte) (*File, []Problem) {
	sc := &scanner{schema: s, file: file}
	clean := sc.scan(text)
	source, err := ini.LoadSources(iniOptions, []byte(clean))
	if err != nil {
		sc.problem(0, "", "", fmt.Sprintf("the text is not valid INI: %v", err))
		return nil, sc.problems
	}
	f := &File{name: file, schema: s}
	for _, entry := range sc.order {
		f.values = append(f.values, sc.values(entry, source.Section(entry.title)))
	}
	f.addDefaults(sc)
	if len(sc.problems) > 0 {
		sort.SliceStable(sc.problems, func(i, j int) bool { return sc.problems[i].Line < sc.problems[j].Line })
		return nil, sc.problems
	}
	return f, nil
}

// values parses the keys of the section that entry describes.
func (s *scanner) values(entry *sectionEntry, source *ini.Section) Values {
	v := Values{Name: entry.name, Line: entry.line, file: s.file, section: entry.section, keys: make(map[string]value)}
	written := source.KeysHash()
	for _, k := range entry.section.Keys {
		line, set := entry.keys[k.Name]
		if !set {
			v.keys[k.Name] = s.defaultValue(entry, k)
			continue
		}
		val, err := k.parse(written[k.Name])
		if err != nil {
			s.problem(line, entry.title, k.Name, err.Error())
		}
		val.line = line
		v.keys[k.Name] = val
	}
	return v
}

// defaultValue returns the default of k, or reports that a required key is
// missing. It panics if the declared default is invalid.
func (s *scanner) defaultValue(entry *sectionEntry, k Key) value {
	if k.Required {
		s.problem(entry.line, entry.title, k.Name, "the key is missing; write "+k.expected())
		return value{}
	}
	if k.Default == "" {
		return value{}
	}
	v, err := k.parse(k.Default)
	if err != nil {
		panic(fmt.Sprintf("schema: key %s has the invalid default %q", k.Name, k.Default))
	}
	return v
}

// addDefaults adds the absent plain sections with their default values.
func (f *File) addDefaults(sc *scanner) {
	for _, sec := range f.schema {
		if _, written := sc.entries[sec.Name]; written || sec.Named {
			continue
		}
		if sec.Required {
			sc.problem(0, sec.Name, "", "the section is missing")
			continue
		}
		entry := &sectionEntry{section: sec, title: sec.Name}
		v := Values{file: sc.file, section: sec, keys: make(map[string]value)}
		for _, k := range sec.Keys {
			if !sec.Optional || !k.Required {
				v.keys[k.Name] = sc.defaultValue(entry, k)
			}
		}
		f.values = append(f.values, v)
	}
}

// Section returns the values of the plain section name. It panics if the schema
// has no such section.
func (f *File) Section(name string) Values {
	for _, v := range f.values {
		if v.section.Name == name && !v.section.Named {
			return v
		}
	}
	panic("schema: no section " + name)
}

// Named returns the named sections of this kind, in file order.
func (f *File) Named(kind string) []Values {
	var all []Values
	for _, v := range f.values {
		if v.section.Name == kind && v.section.Named {
			all = append(all, v)
		}
	}
	return all
}

// Problem returns a problem with key of this section, for checks that involve
// several keys. Its line is that of the key or, if the key is not set, of the
// section.
func (v Values) Problem(key, message string) Problem {
	line := v.keys[key].line
	if line == 0 {
		line = v.Line
	}
	return Problem{File: v.file, Line: line, Section: v.section.title(v.Name), Key: key, Message: message}
}

// IsSet reports whether key is set in the file. It panics if the section declares
// no such key.
func (v Values) IsSet(key string) bool { return v.get(key).line > 0 }

// Text returns the value of a Text, Name, Address or URL key. Like the other
// typed accessors, it panics if the section declares no such key of these kinds.
func (v Values) Text(key string) string { return v.get(key, Text, Name, Address, URL).text }

// List returns a copy of the value of a Names or Addresses key.
func (v Values) List(key string) []string { return slices.Clone(v.get(key, Names, Addresses).list) }

// Int returns the value of an Integer key, or of a Size key in bytes.
func (v Values) Int(key string) int { return int(v.get(key, Integer, Size).integer) }

// Float returns the value of a Number key.
func (v Values) Float(key string) float64 { return v.get(key, Number).number }

// Duration returns the value of a Duration key.
func (v Values) Duration(key string) time.Duration {
	return time.Duration(v.get(key, Duration).integer)
}

// Bool returns the value of a Boolean key.
func (v Values) Bool(key string) bool { return v.get(key, Boolean).boolean }

// get returns the value of key. It panics if the section declares no such key, or
// not with one of the given kinds.
func (v Values) get(key string, kinds ...Kind) value {
	k, ok := v.section.key(key)
	if !ok || len(kinds) > 0 && !slices.Contains(kinds, k.Kind) {
		panic(fmt.Sprintf("schema: section %s has no key %s of the requested kind", v.section.Name, key))
	}
	return v.keys[key]
}
