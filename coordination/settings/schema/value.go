package schema

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// value is the parsed value of a key.
type value struct {
	text    string
	list    []string
	integer int64   // Integer, Size in bytes or Duration in nanoseconds
	number  float64 // Number, or integer converted for the bounds check
	boolean bool
	line    int // zero if the key is not set
}

// sizeUnits are the units of a Size. B comes last because it is a suffix of the
// others.
var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// expectedForms describes the syntax of each kind, for messages.
var expectedForms = map[Kind]string{
	Text:      "text on one line",
	Name:      "a name of letters, digits and . _ @ : / -",
	Names:     "names separated by commas",
	Integer:   "a whole number without a unit",
	Number:    "a decimal number without a unit",
	Duration:  "a duration with a unit, as in 250ms, 30s or 24h",
	Size:      "a whole number with B, KiB, MiB or GiB, as in 64KiB",
	Boolean:   "true or false",
	Address:   "host:port, as in 10.0.0.7:8080",
	Addresses: "host:port pairs separated by commas",
	URL:       "an absolute URL, as in http://10.0.0.9:2379",
}

var errSyntax = errors.New("schema: invalid syntax")

// parse parses text as the value of k and checks the allowed values and bounds.
// Its error says what is expected.
func (k Key) parse(text string) (value, error) {
	v, err := k.Kind.parse(text)
	if err != nil || len(k.OneOf) > 0 && !slices.Contains(k.OneOf, v.text) {
		return value{}, fmt.Errorf("%q is not right; write %s", text, k.expected())
	}
	if !k.inBounds(v) {
		return value{}, fmt.Errorf("%s is out of bounds; write %s", text, k.expected())
	}
	return v, nil
}

// expected describes the valid values of k.
func (k Key) expected() string {
	s := expectedForms[k.Kind]
	if k.Unit != "" {
		s += " (" + k.Unit + ")"
	}
	if b := k.bounds(); b != "" {
		s += ", " + b
	}
	return s
}

func (k Key) bounds() string {
	switch {
	case len(k.OneOf) > 0:
		return "one of " + strings.Join(k.OneOf, ", ")
	case k.Min != "" && k.Max != "":
		return "from " + k.Min + " to " + k.Max
	case k.Min != "":
		return "at least " + k.Min
	case k.Max != "":
		return "at most " + k.Max
	default:
		return ""
	}
}

func (k Key) inBounds(v value) bool {
	if k.Min != "" && v.number < k.bound(k.Min) {
		return false
	}
	return k.Max == "" || v.number <= k.bound(k.Max)
}

// bound parses a declared bound of k. It panics if the bound is invalid.
func (k Key) bound(text string) float64 {
	v, err := k.Kind.parse(text)
	if err != nil {
		panic(fmt.Sprintf("schema: key %s has the invalid bound %q", k.Name, text))
	}
	return v.number
}

func (k Kind) parse(text string) (value, error) {
	v := value{text: text}
	var err error
	switch k {
	case Text:
	case Name:
		err = syntaxErrorUnless(ValidName(text))
	case Names:
		v.list = splitList(text)
		err = syntaxErrorUnless(lo.EveryBy(v.list, ValidName))
	case Integer:
		v.integer, err = strconv.ParseInt(text, 10, 64)
		v.number = float64(v.integer)
	case Number:
		v.number, err = parseNumber(text)
	case Duration:
		v.integer, err = parseDuration(text)
		v.number = float64(v.integer)
	case Size:
		v.integer, err = parseSize(text)
		v.number = float64(v.integer)
	case Boolean:
		v.boolean = text == "true"
		err = syntaxErrorUnless(v.boolean || text == "false")
	case Address:
		err = syntaxErrorUnless(validAddress(text))
	case Addresses:
		v.list = splitList(text)
		err = syntaxErrorUnless(lo.EveryBy(v.list, validAddress))
	case URL:
		err = syntaxErrorUnless(validURL(text))
	}
	return v, err
}

func syntaxErrorUnless(ok bool) error {
	if ok {
		return nil
	}
	return errSyntax
}

// parseNumber rejects what ParseFloat accepts beyond decimal numbers:
// hexadecimal numbers, underscores, infinities and NaN, which would pass every
// bound because all comparisons with it are false.
func parseNumber(text string) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || strings.ContainsAny(text, "xX_") {
		return 0, errSyntax
	}
	return f, nil
}

// parseDuration rejects a bare 0, which ParseDuration accepts without a unit.
func parseDuration(text string) (int64, error) {
	d, err := time.ParseDuration(text)
	if err != nil || !strings.ContainsAny(text, "hmsuµ") {
		return 0, errSyntax
	}
	return int64(d), nil
}

func parseSize(text string) (int64, error) {
	for _, s := range sizeUnits {
		digits, found := strings.CutSuffix(text, s.unit)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/s.bytes {
			return 0, errSyntax
		}
		return n * s.bytes, nil
	}
	return 0, errSyntax
}

func validAddress(text string) bool {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// splitList splits a comma-separated list and trims spaces around its elements.
// Blank text yields an empty list.
func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	return lo.Map(strings.Split(text, ","), func(s string, _ int) string { return strings.TrimSpace(s) })
}
