package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// render fills in the template of a settings file as the platform does: values,
// sections, inverted sections and commas.
func render(text string, scopes ...any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("template: a placeholder does not end")
		}
		if !strings.HasPrefix(tag, "#") && !strings.HasPrefix(tag, "^") {
			out.WriteString(value(tag, scopes))
			text = after
			continue
		}
		inner, next, found := strings.Cut(after, "{{/"+tag[1:]+"}}")
		if !found {
			return "", fmt.Errorf("template: section %s does not end", tag)
		}
		part, err := section(tag, inner, scopes)
		if err != nil {
			return "", err
		}
		out.WriteString(part)
		text = next
	}
}

// entry is one entry of a list or a table, with its key.
type entry struct {
	key   string
	value any
	last  bool
}

func section(tag, inner string, scopes []any) (string, error) {
	v, ok := find(tag[1:], scopes)
	present := ok && v != nil && v != false
	if tag[0] == '^' {
		if present {
			return "", nil
		}
		return render(inner, scopes...)
	}
	if !present {
		return "", nil
	}
	var out strings.Builder
	for _, e := range entries(v) {
		part, err := render(inner, append([]any{e}, scopes...)...)
		if err != nil {
			return "", err
		}
		out.WriteString(part)
	}
	return out.String(), nil
}

func entries(v any) []entry {
	var all []entry
	switch v := v.(type) {
	case map[string]any:
		for k, each := range v {
			all = append(all, entry{key: k, value: each})
		}
		sort.Slice(all, func(a, b int) bool { return all[a].key < all[b].key })
	case []any:
		for n, each := range v {
			all = append(all, entry{key: fmt.Sprint(n), value: each})
		}
	default:
		all = []entry{{value: v}}
	}
	all[len(all)-1].last = true
	return all
}

func value(tag string, scopes []any) string {
	if e, ok := scopes[0].(entry); ok {
		switch tag {
		case "@":
			return e.key
		case ",":
			if e.last {
				return ""
			}
			return ","
		}
	}
	name, asJSON := strings.CutSuffix(tag, "|json")
	v, ok := find(name, scopes)
	if asJSON {
		b, _ := json.Marshal(v)
		return string(b)
	}
	switch v := v.(type) {
	case []any:
		words := make([]string, len(v))
		for n, each := range v {
			words[n] = fmt.Sprint(each)
		}
		return strings.Join(words, ",")
	case map[string]any:
		b, _ := json.Marshal(v)
		return string(b)
	}
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// find looks a name up in the innermost scope that has it.
func find(name string, scopes []any) (any, bool) {
	for _, s := range scopes {
		e, isEntry := s.(entry)
		if isEntry {
			s = e.value
		}
		if name == "." {
			return s, true
		}
		if v, ok := walk(s, strings.Split(name, ".")); ok {
			return v, true
		}
	}
	return nil, false
}

func walk(v any, path []string) (any, bool) {
	for _, name := range path {
		table, ok := v.(map[string]any)
		if !ok {
			return nil, false
		}
		if v, ok = table[name]; !ok {
			return nil, false
		}
	}
	return v, true
}
