package schema

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"gopkg.in/ini.v1"
)

// File holds the values of a settings file that follows its table. It does
// not change once it is read.
type File struct {
	name   string
	schema Schema
	values []Values
}

// Values are the values of one section, defaults included.
type Values struct {
	// Name is the name of a named section, as in [model "chat"].
	Name string
	// Line is where the section starts, zero if it was left out.
	Line int

	file    string
	section Section
	keys    map[string]value
}

// options makes the library read each line as the scanner does: one line a
// value, no escapes, a comment only after a space.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// Parse reads text against s. The name of the file is for the problems. The
// File is nil if there is any problem.
func (s Schema) Parse(file string, text []byte) (*File, []Problem) {
	sc := &scanner{schema: s, file: file}
	clean := sc.scan(text)
	source, err := ini.LoadSources(iniOptions, []byte(clean))
	if err != nil {
		sc.problem(0, "", "", fmt.Sprintf("the text is no INI: %v", err))
		return nil, sc.problems
	}
	f := &File{name: file, schema: s}
	for _, p := range sc.order {
		f.values = append(f.values, sc.values(p, source.Section(p.title)))
	}
	f.addDefaults(sc)
	if len(sc.problems) > 0 {
		sort.SliceStable(sc.problems, func(i, j int) bool { return sc.problems[i].Line < sc.problems[j].Line })
		return nil, sc.problems
	}
	return f, nil
}

// values reads the keys of the section at p.
func (s *scanner) values(p *sectionEntry, source *ini.Section) Values {
	v := Values{Name: p.name, Line: p.line, file: s.file, section: p.section, keys: make(map[string]value)}
	written := source.KeysHash()
	for _, k := range p.section.Keys {
		line, set := p.keys[k.Name]
		if !set {
			v.keys[k.Name] = s.defaultValue(p, k)
			continue
		}
		val, err := k.parse(written[k.Name])
		if err != nil {
			s.problem(line, p.title, k.Name, err.Error())
		}
		val.line = line
		v.keys[k.Name] = val
	}
	return v
}

// fallback returns the default of k. A wrong default is a fault of the
// program.
func (s *scanner) defaultValue(p *sectionEntry, k Key) value {
	if k.Required {
		s.problem(p.line, p.title, k.Name, "the key is missing; write "+k.expected())
		return value{}
	}
	if k.Default == "" {
		return value{}
	}
	v, err := k.parse(k.Default)
	if err != nil {
		panic(fmt.Sprintf("schema: key %s has the default %q", k.Name, k.Default))
	}
	return v
}

// addDefaults gives the plain sections that were left out their defaults.
func (f *File) addDefaults(sc *scanner) {
	for _, sec := range f.schema {
		if _, written := sc.entries[sec.Name]; written || sec.Named {
			continue
		}
		if sec.Required {
			sc.problem(0, sec.Name, "", "the section is missing")
			continue
		}
		p := &sectionEntry{section: sec, title: sec.Name}
		v := Values{file: sc.file, section: sec, keys: make(map[string]value)}
		for _, k := range sec.Keys {
			if !sec.Optional || !k.Required {
				v.keys[k.Name] = sc.defaultValue(p, k)
			}
		}
		f.values = append(f.values, v)
	}
}

// Section returns the values of the plain section name.
func (f *File) Section(name string) Values {
	for _, v := range f.values {
		if v.section.Name == name && !v.section.Named {
			return v
		}
	}
	panic("schema: no section " + name)
}

// Named returns the sections of this kind in the order of the file.
func (f *File) Named(kind string) []Values {
	var all []Values
	for _, v := range f.values {
		if v.section.Name == kind && v.section.Named {
			all = append(all, v)
		}
	}
	return all
}

// Problem returns a problem with key of this section, for checks that reach
// beyond one key.
func (v Values) Problem(key, message string) Problem {
	line := v.keys[key].line
	if line == 0 {
		line = v.Line
	}
	return Problem{File: v.file, Line: line, Section: v.section.title(v.Name), Key: key, Message: message}
}

// IsSet reports whether key was written, rather than left to its default.
func (v Values) IsSet(key string) bool { return v.get(key).line > 0 }

// Text returns a Text, Name, Address or URL.
func (v Values) Text(key string) string { return v.get(key, Text, Name, Address, URL).text }

// List returns Names or Addresses.
func (v Values) List(key string) []string { return slices.Clone(v.get(key, Names, Addresses).list) }

// Int returns an Integer, or a Size in bytes.
func (v Values) Int(key string) int { return int(v.get(key, Integer, Size).integer) }

// Float returns a Number.
func (v Values) Float(key string) float64 { return v.get(key, Number).number }

// Duration returns a Duration.
func (v Values) Duration(key string) time.Duration {
	return time.Duration(v.get(key, Duration).integer)
}

// Bool returns a Boolean.
func (v Values) Bool(key string) bool { return v.get(key, Boolean).boolean }

// get returns the value of key. Asking for a key that the table does not have
// in one of these kinds is a fault of the program.
func (v Values) get(key string, kinds ...Kind) value {
	k, ok := v.section.key(key)
	if !ok || len(kinds) > 0 && !slices.Contains(kinds, k.Kind) {
		panic(fmt.Sprintf("schema: section %s has no such key %s", v.section.Name, key))
	}
	return v.keys[key]
}
