package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
)

const (
	// valueFillPercent is the percentage of the object store's largest value to which an object
	// is filled: the store may count another encoding of the same content.
	valueFillPercent = 70
	// objectOverheadBytes is room for the object's own fields in the largest value.
	objectOverheadBytes = 1 << 10
	// minSegmentBytes is the size from which on an object that the store rejects is not divided
	// further: its size is not the reason.
	minSegmentBytes = 4 << 10
)

// storedResult is a result in a KindResults object. Body is the body of its item if that has
// no KindItems object: a job that is complete drops the items in its head.
type storedResult struct {
	Item string
	Dead bool
	Text string `json:",omitempty"`
	// Raw is the text instead of Text if it is not valid UTF-8, which JSON cannot hold.
	Raw  []byte `json:",omitempty"`
	Body []byte `json:",omitempty"`
}

func newStoredResult(r Result) storedResult {
	if !utf8.ValidString(r.Text) {
		return storedResult{Item: r.Item, Dead: r.Dead, Raw: []byte(r.Text)}
	}
	return storedResult{Item: r.Item, Dead: r.Dead, Text: r.Text}
}

func (s storedResult) result() Result {
	if s.Raw != nil {
		return Result{Item: s.Item, Dead: s.Dead, Text: string(s.Raw)}
	}
	return Result{Item: s.Item, Dead: s.Dead, Text: s.Text}
}

// storedPart is an object of a result that is too large for one object. Parts is the number of
// these objects; it is 0 in all but the first. Each has a piece of the text.
type storedPart struct {
	Parts int `json:",omitempty"`
	storedResult
}

// partOfResult returns the name of object n of a result that is stored in several; the first has
// the name of the segment. No segment has such a name: they end with a dot and a number.
func partOfResult(segment string, n int) string {
	if n == 0 {
		return segment
	}
	return fmt.Sprintf("%s~%d", segment, n)
}

// pack returns how many of the encoded entries fit into a list of up to limit bytes, and the
// list. It takes at least one.
func pack(entries [][]byte, limit int) (n int, list []byte) {
	size := len("[]")
	for n < len(entries) && (n == 0 || size+len(entries[n])+len(",") <= limit) {
		size += len(entries[n]) + len(",")
		n++
	}
	list = make([]byte, 0, size)
	list = append(list, '[')
	list = append(list, bytes.Join(entries[:n], []byte(","))...)
	return n, append(list, ']')
}

// divide returns the encoded objects of a result, each of up to limit bytes if that is more than
// the fields beside the text take.
func divide(r storedResult, limit int) [][]byte {
	text := r.result().Text
	const probe = `"x"`
	fields := func(body []byte) int {
		return len(encode(storedPart{Parts: len(text) + 1, storedResult: storedResult{Item: r.Item, Dead: r.Dead, Text: "x", Body: body}})) - len(probe)
	}
	first, further := fields(r.Body), fields(nil)
	var pieces []string
	for len(text) > 0 || len(pieces) == 0 {
		others := further
		if len(pieces) == 0 {
			others = first
		}
		n := pieceLength(text, limit-others)
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	out := make([][]byte, len(pieces))
	for i, piece := range pieces {
		part := storedPart{storedResult: newStoredResult(Result{Item: r.Item, Dead: r.Dead, Text: piece})}
		if i == 0 {
			part.Parts, part.Body = len(pieces), r.Body
		}
		out[i] = encode(part)
	}
	return out
}

// pieceLength returns the length of the longest piece at the start of a text that takes up to
// limit bytes as a JSON string or in base64, and at least one character. It ends between two
// characters where the text is UTF-8.
func pieceLength(text string, limit int) int {
	const quotes, base64Of3 = 2, 4
	size, n, valid := quotes, 0, true
	for n < len(text) {
		r, width := utf8.DecodeRuneInString(text[n:])
		valid = valid && (r != utf8.RuneError || width > 1)
		size += jsonSize(r, width)
		if (valid && size > limit) || (!valid && quotes+(n+width+2)/3*base64Of3 > limit) {
			break
		}
		n += width
	}
	if n == 0 {
		_, n = utf8.DecodeRuneInString(text)
	}
	return n
}

// jsonSize returns the size of a character of the given width in a JSON string, as encode writes
// it.
func jsonSize(r rune, width int) int {
	const escaped = len(`\u0000`)
	switch {
	case r == '"', r == '\\', r == '\b', r == '\f', r == '\n', r == '\r', r == '\t':
		return len(`\n`)
	case r < ' ', r == '\u2028', r == '\u2029', r == utf8.RuneError && width == 1:
		return escaped
	}
	return width
}

// jsonStringSize returns the size of a text as a JSON string, as encode writes it.
func jsonStringSize(text string) int {
	size := len(`""`)
	for i := 0; i < len(text); {
		r, width := utf8.DecodeRuneInString(text[i:])
		size += jsonSize(r, width)
		i += width
	}
	return size
}

// writeSegments writes pending results to objects. It returns the segments, which list the first
// of the results in order: all of them if err is nil. Objects that the store rejects are divided
// further. Errors: those of create.
func (m *Manager) writeSegments(ctx context.Context, h *heldJob, batch []pendingResult) (segments []Segment, err error) {
	entries := make([][]byte, len(batch))
	for i, p := range batch {
		entries[i] = encode(m.storedResultOf(h, p))
	}
	if h.segmentBytes == 0 {
		h.segmentBytes = m.cfg.MaxValueBytes * valueFillPercent / 100
	}
	for done := 0; done < len(batch); {
		n, list := pack(entries[done:], h.segmentBytes)
		parts := [][]byte{list}
		if n == 1 && len(list) > h.segmentBytes {
			parts = divide(m.storedResultOf(h, batch[done]), h.segmentBytes)
		}
		segment, err := m.writeSegment(ctx, h, batch[done:done+n], parts)
		if errors.Is(err, objects.ErrRejected) && h.segmentBytes > minSegmentBytes {
			h.segmentBytes = max(minSegmentBytes, min(h.segmentBytes, len(parts[0]))/2)
			continue
		}
		if err != nil {
			return segments, err
		}
		segments, done = append(segments, segment), done+n
	}
	return segments, nil
}

// storedResultOf returns a pending result as it is stored.
func (m *Manager) storedResultOf(h *heldJob, p pendingResult) storedResult {
	stored := newStoredResult(p.result)
	if m.sharedView() && len(h.head.Inline) > 0 {
		stored.Body = h.items[p.index].Body
	}
	return stored
}

// writeSegment writes the objects of one segment: one, or the parts of a single result.
func (m *Manager) writeSegment(ctx context.Context, h *heldJob, list []pendingResult, parts [][]byte) (Segment, error) {
	h.sequence++ // a failed attempt leaves objects that no head names
	segment := Segment{Object: segmentName(h.id, h.head.Epoch, h.sequence)}
	if len(parts) > 1 {
		segment.Parts = len(parts)
	}
	for _, p := range list {
		segment.Items = append(segment.Items, p.index)
	}
	for n, value := range parts {
		segment.Bytes += len(value)
		if _, _, err := m.create(ctx, KindResults, partOfResult(segment.Object, n), value); err != nil {
			return Segment{}, err
		}
	}
	return segment, nil
}

// readSegment reads the results of a segment from the object store.
func (m *Manager) readSegment(ctx context.Context, s Segment) ([]storedResult, error) {
	o, err := m.Store.Get(ctx, callbudget.Commit, KindResults, s.Object)
	if err != nil {
		return nil, errkind.PlatformUnavailable.New("results could not be read from the object store: %v", err)
	}
	if bytes.HasPrefix(o.Value, []byte("{")) {
		return m.readParts(ctx, s, o.Value)
	}
	stored, err := decode[[]storedResult](o.Value)
	if err != nil || len(stored) != len(s.Items) {
		return nil, errkind.Internal.New("results %s cannot be decoded: %v", s.Object, err)
	}
	return stored, nil
}

// readParts reads a result that is stored in several objects, of which the first is given.
func (m *Manager) readParts(ctx context.Context, s Segment, first []byte) ([]storedResult, error) {
	part, err := decode[storedPart](first)
	if err != nil || len(s.Items) != 1 {
		return nil, errkind.Internal.New("results %s cannot be decoded: %v", s.Object, err)
	}
	whole := part.storedResult
	text := []byte(part.result().Text)
	for n := 1; n < part.Parts; n++ {
		o, err := m.Store.Get(ctx, callbudget.Commit, KindResults, partOfResult(s.Object, n))
		if err != nil {
			return nil, errkind.PlatformUnavailable.New("results could not be read from the object store: %v", err)
		}
		next, err := decode[storedPart](o.Value)
		if err != nil || next.Item != whole.Item {
			return nil, errkind.Internal.New("results %s cannot be decoded: %v", s.Object, err)
		}
		text = append(text, next.result().Text...)
	}
	whole.Text, whole.Raw = "", text
	return []storedResult{whole}, nil
}

// encodeStored returns the JSON form of a stored record. Markup is not escaped, which would take
// six bytes for a character.
func encodeStored(v any) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(v)
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), err
}
