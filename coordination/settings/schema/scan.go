package schema

import (
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"

	"github.com/samber/lo"
)

// headerPattern matches a section header with an optional name, quoted or not.
var headerPattern = regexp.MustCompile(`^\[\s*([A-Za-z][A-Za-z0-9-]*)(?:\s+(?:"([^"\]]*)"|([^"\]\s]+)))?\s*\]\s*(?:[;#].*)?$`)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@:/-]{0,127}$`)
	keyPattern  = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
)

// ValidName reports whether s is a valid name of a section, model, account or the
// like: an ASCII letter or digit, then up to 127 ASCII letters, digits or any of
// . _ @ : / -
func ValidName(s string) bool { return namePattern.MatchString(s) }

// sectionEntry is a section of the file with the lines of its header and keys.
type sectionEntry struct {
	section Section
	name    string
	title   string // as in model "chat"
	line    int
	keys    map[string]int
}

// scanner records the lines of sections and keys, which the INI library does not
// report. It passes on only lines that it understands and that the schema
// declares, so that the library cannot interpret a line differently.
type scanner struct {
	schema     Schema
	file       string
	problems   []Problem
	entries    map[string]*sectionEntry
	order      []*sectionEntry
	current    *sectionEntry
	seenHeader bool // a header was read before, valid or not
	clean      strings.Builder
}

// scan returns text with comment lines and invalid lines blanked.
func (s *scanner) scan(text []byte) string {
	s.entries = make(map[string]*sectionEntry)
	body := strings.TrimPrefix(string(text), "\ufeff")
	for i, line := range strings.Split(body, "\n") {
		kept := s.scanLine(i+1, strings.TrimSpace(line))
		s.clean.WriteString(kept)
		s.clean.WriteByte('\n')
	}
	return s.clean.String()
}

// scanLine returns the text that the INI library gets in place of line n.
func (s *scanner) scanLine(n int, line string) string {
	switch {
	case !utf8.ValidString(line) || strings.ContainsRune(line, 0):
		s.problemf(n, "", "the line is not UTF-8 text")
		return ""
	case line == "" || line[0] == ';' || line[0] == '#':
		return ""
	case line[0] == '[':
		return s.scanHeader(n, line)
	default:
		return s.scanKey(n, line)
	}
}

func (s *scanner) scanHeader(n int, line string) string {
	s.current = nil
	s.seenHeader = true
	m := headerPattern.FindStringSubmatch(line)
	if m == nil {
		s.problemf(n, "", `%s is not a section header; write [section] or [section "name"]`, line)
		return ""
	}
	name := m[2] + m[3]
	sec, ok := s.schema.section(m[1])
	if !ok {
		s.problem(n, m[1], "", "unknown section; known are "+s.schema.titles())
		return ""
	}
	entry := &sectionEntry{section: sec, name: name, title: sec.title(name), line: n, keys: make(map[string]int)}
	if !s.checkHeader(entry) {
		return ""
	}
	s.entries[entry.title] = entry
	s.order = append(s.order, entry)
	s.current = entry
	return "[" + entry.title + "]"
}

// checkHeader reports whether the header of entry is valid, and records a problem if
// it is not.
func (s *scanner) checkHeader(entry *sectionEntry) bool {
	earlier, duplicate := s.entries[entry.title]
	switch {
	case entry.section.Named && entry.name == "":
		s.problem(entry.line, entry.section.Name, "", fmt.Sprintf(`the section needs a name: [%s "name"]`, entry.section.Name))
	case entry.section.Named && !ValidName(entry.name):
		s.problem(entry.line, entry.title, "", fmt.Sprintf("%q is not a valid name; use letters, digits and . _ @ : / -, at most 128", entry.name))
	case !entry.section.Named && entry.name != "":
		s.problem(entry.line, entry.section.Name, "", fmt.Sprintf("the section takes no name; write [%s]", entry.section.Name))
	case duplicate:
		s.problem(entry.line, entry.title, "", fmt.Sprintf("the section is already defined at line %d; write its keys there", earlier.line))
	default:
		return true
	}
	return false
}

func (s *scanner) scanKey(n int, line string) string {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !s.seenHeader {
		s.problemf(n, "", "%q is outside any section; known sections are %s", key, s.schema.titles())
		return ""
	}
	if s.current == nil {
		return "" // below an invalid header, which is already reported
	}
	entry := s.current
	if !found {
		s.problemf(n, "", "%q is neither a section nor a key; write key = value", line)
		return ""
	}
	if _, known := entry.section.key(key); !known || !keyPattern.MatchString(key) {
		s.problem(n, entry.title, key, "unknown key; known are "+entry.section.keyNames())
		return ""
	}
	if earlier, duplicate := entry.keys[key]; duplicate {
		s.problem(n, entry.title, key, fmt.Sprintf("the key is already set at line %d", earlier))
		return ""
	}
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") {
		s.problem(n, entry.title, key, "a value must be on one line, plain or in double quotes")
		return ""
	}
	entry.keys[key] = n
	return line
}

func (s *scanner) problemf(n int, key, format string, args ...any) {
	title := ""
	if s.current != nil {
		title = s.current.title
	}
	s.problem(n, title, key, fmt.Sprintf(format, args...))
}

func (s *scanner) problem(n int, section, key, message string) {
	s.problems = append(s.problems, Problem{File: s.file, Line: n, Section: section, Key: key, Message: message})
}

// title returns the header of the section without brackets.
func (s Section) title(name string) string {
	if !s.Named {
		return s.Name
	}
	return fmt.Sprintf("%s %q", s.Name, name)
}

func (s Section) keyNames() string {
	return strings.Join(lo.Map(s.Keys, func(k Key, _ int) string { return k.Name }), ", ")
}

func (s Schema) titles() string {
	return strings.Join(lo.Map(s, func(sec Section, _ int) string { return "[" + sec.title("name") + "]" }), ", ")
}
