package hub

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Limits of requests.
const (
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
	maxEntries    = 32
	maxLeaseMs    = 600_000
	maxWaitMs     = 30_000
	maxBodyBytes  = 2 * maxEntries * maxValueBytes
)

// errForbidden reports a key that only operators and endpoints write.
type errForbidden struct{ key string }

func (e errForbidden) Error() string { return fmt.Sprintf("key %q is not ours to write", e.key) }

// errCutOff reports that the caller did not send the whole body.
var errCutOff = errors.New("the body is cut off")

// decodeFields decodes a JSON object that has exactly the fields of the names, none of them
// null, into the values.
func decodeFields(data []byte, fields map[string]any) error {
	var raw map[string]json.RawMessage // its keys are compared in the case in which they are sent
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	for name := range raw {
		if _, ok := fields[name]; !ok {
			return fmt.Errorf("unknown field %q", name)
		}
	}
	for name, v := range fields {
		text, ok := raw[name]
		if !ok || string(text) == "null" {
			return fmt.Errorf("field %q is missing or null", name)
		}
		if err := json.Unmarshal(text, v); err != nil {
			return fmt.Errorf("field %q: %w", name, err)
		}
	}
	return nil
}

// decodeBody decodes the JSON body of a request. A body of another type is refused.
func decodeBody(r *http.Request, v json.Unmarshaler) error {
	contentType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || contentType != "application/json" {
		return fmt.Errorf("content type %q", r.Header.Get("Content-Type"))
	}
	if r.URL.RawQuery != "" {
		return fmt.Errorf("query %q", r.URL.RawQuery)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return errCutOff
	}
	return json.Unmarshal(body, v)
}

// key is a key in a request.
type key string

// UnmarshalJSON implements json.Unmarshaler.
func (k *key) UnmarshalJSON(data []byte) error {
	var text *string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	if text == nil || checkKey(*text) != nil {
		return fmt.Errorf("key %s", data)
	}
	*k = key(*text)
	return nil
}

func checkKey(text string) error {
	if text == "" || len(text) > maxKeyBytes {
		return fmt.Errorf("key of %d bytes", len(text))
	}
	return nil
}

// value is a value in a request: standard base64 with padding.
type value []byte

// UnmarshalJSON implements json.Unmarshaler.
func (v *value) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	decoded, err := base64.StdEncoding.Strict().DecodeString(text)
	switch {
	case err != nil:
		return err
	case strings.ContainsAny(text, "\r\n"): // which package base64 skips
		return fmt.Errorf("line break in base64")
	case len(decoded) > maxValueBytes:
		return fmt.Errorf("value of %d bytes", len(decoded))
	}
	*v = decoded
	return nil
}

// number is a number from 0 to the largest of 63 bits.
type number int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *number) UnmarshalJSON(data []byte) error {
	i, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil || i < 0 {
		return fmt.Errorf("number %s", data)
	}
	*n = number(i)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *condition) UnmarshalJSON(data []byte) error {
	return decodeFields(data, map[string]any{"key": &c.Key, "revision": &c.Revision})
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *txnWrite) UnmarshalJSON(data []byte) error {
	return decodeFields(data, map[string]any{"key": &w.Key, "value": &w.Value, "lease": &w.Lease})
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *txn) UnmarshalJSON(data []byte) error {
	err := decodeFields(data, map[string]any{"precondition": &t.Precondition, "writes": &t.Writes, "delete": &t.Delete})
	if err != nil {
		return err
	}
	if n := len(t.Precondition) + len(t.Writes) + len(t.Delete); n > maxEntries {
		return fmt.Errorf("%d entries", n)
	}
	return nil
}

// checkOwner returns errForbidden if a transaction writes or deletes a key that only
// operators or endpoints may write.
func (t *txn) checkOwner() error {
	keys := slices.Clone(t.Delete)
	for _, w := range t.Writes {
		keys = append(keys, w.Key)
	}
	for _, k := range keys {
		if strings.HasPrefix(string(k), "op/") || strings.HasPrefix(string(k), "servers/") {
			return errForbidden{string(k)}
		}
	}
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *leaseRequest) UnmarshalJSON(data []byte) error {
	if err := decodeFields(data, map[string]any{"ttlMs": &l.TTLMs}); err != nil {
		return err
	}
	if l.TTLMs > maxLeaseMs {
		return fmt.Errorf("ttlMs %d", l.TTLMs)
	}
	return nil
}

// parseQuery returns the parameters of a query, each of which is given once. All of required
// have to be there, and no others than these and optional.
func parseQuery(r *http.Request, required, optional []string) (url.Values, error) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, err
	}
	for name, values := range query {
		if !slices.Contains(required, name) && !slices.Contains(optional, name) || len(values) != 1 {
			return nil, fmt.Errorf("parameter %q, %d times", name, len(values))
		}
	}
	for _, name := range required {
		if !query.Has(name) {
			return nil, fmt.Errorf("no parameter %q", name)
		}
	}
	if query.Has("serializable") && query.Get("serializable") != "1" {
		return nil, fmt.Errorf("serializable %q", query.Get("serializable"))
	}
	return query, nil
}

// parseNumber parses a whole number in decimal digits from 0 to limit.
func parseNumber(text string, limit int64) (int64, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || int64(n) > limit {
		return 0, fmt.Errorf("number %q", text)
	}
	return int64(n), nil
}
