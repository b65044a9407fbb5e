package schema

import (
	"fmt"
	"strings"
)

// Markdown returns the reference of all sections and keys in Markdown, with one
// heading of the given level and one table per section.
func (s Schema) Markdown(level int) string {
	var b strings.Builder
	for _, sec := range s {
		fmt.Fprintf(&b, "%s `[%s]`\n\n%s\n\n", strings.Repeat("#", level), sec.title("name"), sec.Doc)
		b.WriteString("| key | form | unit | default | bounds | meaning |\n")
		b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
		for _, k := range sec.Keys {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n",
				k.Name, k.Kind, dashIfEmpty(k.Unit), k.defaultText(), dashIfEmpty(k.bounds()), k.Doc)
		}
		b.WriteString("\n")
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}

func (k Key) defaultText() string {
	if k.Required {
		return "required"
	}
	if k.Default == "" {
		return "empty"
	}
	return "`" + k.Default + "`"
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// String returns the name of k that is used in the reference.
func (k Kind) String() string {
	names := [...]string{
		"text", "name", "names", "integer", "number", "duration", "size",
		"boolean", "address", "addresses", "URL",
	}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}
