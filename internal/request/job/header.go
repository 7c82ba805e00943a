package job

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
)

// Header is the header of an item: a JSON object of names and values, empty for none. It is kept as
// text because a map takes many times the bytes of small fields.
type Header string

var errHeaderForm = errors.New("the headers of an item are not an object of names and values")

// ParseHeader returns the header that a JSON object states, without the fields whose names drop
// reports.
func ParseHeader(text []byte, drop func(name string) bool) (Header, error) {
	var kept strings.Builder
	err := eachField(string(text), func(field, name, _ string) {
		if drop(name) {
			return
		}
		if kept.Len() == 0 {
			kept.WriteByte('{')
		} else {
			kept.WriteByte(',')
		}
		kept.WriteString(field)
	})
	if err != nil || kept.Len() == 0 {
		return "", err
	}
	kept.WriteByte('}')
	return Header(kept.String()), nil
}

// eachField calls f with the text, the name and the value of each field of a JSON object.
func eachField(object string, f func(field, name, value string)) error {
	decoder := json.NewDecoder(strings.NewReader(object))
	switch open, err := decoder.Token(); {
	case err != nil:
		return err
	case open == nil:
		return nil
	case open != json.Delim('{'):
		return errHeaderForm
	}
	for decoder.More() {
		start := decoder.InputOffset()
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		value, err := decoder.Token()
		if err != nil {
			return err
		}
		text, isText := value.(string)
		if !isText && value != nil {
			return errHeaderForm
		}
		f(strings.TrimLeft(object[start:decoder.InputOffset()], ", \t\r\n"), name.(string), text)
	}
	return nil
}

// each calls f with each field. Headers are checked when they are parsed.
func (h Header) each(f func(name, value string)) {
	if h != "" {
		_ = eachField(string(h), func(_, name, value string) { f(name, value) })
	}
}

// Values returns the value of a field, as http.Header does.
func (h Header) Values(name string) []string {
	var values []string
	h.each(func(n, value string) {
		if strings.EqualFold(n, name) {
			values = []string{value} // the last one counts, as in the request that is sent
		}
	})
	return values
}

// Get returns the value of a field, empty if there is none.
func (h Header) Get(name string) string {
	if values := h.Values(name); len(values) > 0 {
		return values[0]
	}
	return ""
}

// parsed returns the header to send.
func (h Header) parsed() http.Header {
	header := http.Header{}
	h.each(header.Set)
	return header
}

// size estimates the encoded size in bytes. All nodes have to agree on it, see encodeItems.
func (h Header) size() int {
	n := 0
	h.each(func(name, value string) { n += len(name) + len(value) + encodingOverhead/64 })
	return n
}

// parsedFieldBytes is the memory of a field while its item runs: in the parsed header, in the copy
// that is sent, and its name.
const parsedFieldBytes = 256

// parsedBytes estimates the memory in bytes that the header takes while its item runs.
func (h Header) parsedBytes() int64 {
	fields := int64(0)
	h.each(func(string, string) { fields++ })
	return int64(len(h)) + parsedFieldBytes*fields
}

// MarshalJSON implements json.Marshaler.
func (h Header) MarshalJSON() ([]byte, error) {
	if h == "" {
		return []byte("null"), nil
	}
	return []byte(h), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *Header) UnmarshalJSON(text []byte) (err error) {
	if bytes.Equal(text, []byte("null")) {
		*h = ""
		return nil
	}
	*h, err = ParseHeader(text, func(string) bool { return false })
	return err
}
