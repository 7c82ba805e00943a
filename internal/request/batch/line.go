package batch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Line is one item of a JSONL file, in the OpenAI batch format.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Result is one line of a results file.
type Result struct {
	ID       string       `json:"id"`
	CustomID string       `json:"custom_id"`
	Response *Response    `json:"response"`
	Error    *ResultError `json:"error"`
}

// Response is the answer of an item.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError is the final error of an item.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	NotRun  string `json:"not_run"`
}

// servicesPrefix is the prefix of the URLs of plain services.
const servicesPrefix = "/services/"

// resolve returns the service of a line and the model name that its target must
// have loaded, which is empty for plain services.
func (l *Line) resolve(config *fleet.Config, w *workspace.Workspace) (*fleet.Service, string, error) {
	if rest, ok := strings.CutPrefix(l.URL, servicesPrefix); ok {
		name, _, _ := strings.Cut(rest, "/")
		s := config.Services[name]
		if s == nil || s.Kind != fleet.KindPlain || !w.MayUse(name) {
			return nil, "", errkind.NotFound.New("no service %q", name)
		}
		return s, "", nil
	}
	if l.URL != openai.ChatPath && l.URL != openai.CompletionPath {
		return nil, "", errkind.Malformed.New(`"url" is %q; allowed: %s, %s, %s{name}/...`, l.URL, openai.ChatPath, openai.CompletionPath, servicesPrefix)
	}
	req, err := openai.Parse(l.URL, l.Body)
	if err != nil {
		return nil, "", err
	}
	s, loaded := config.ServiceFor(w, req.Model)
	if s == nil {
		return nil, "", errkind.UnknownModel.New("no model %q", req.Model)
	}
	return s, loaded, nil
}

// maxLineBytes bounds one line of a file, in bytes.
const maxLineBytes = 512 << 10

// splitter reads a JSONL file and splits it into chunks whose items have the same
// service. It calls emit with each complete chunk.
type splitter struct {
	config    *fleet.Config
	workspace *workspace.Workspace
	maxItems  int
	maxBytes  int
	emit      func(n int, chunk []byte) error

	seen     map[uint64]bool          // hashes of the custom IDs
	builders map[string]*chunkBuilder // by service
	services []string                 // in the order of their first item
	chunkOf  []byte                   // by chunk: index into services
	items    int
	bytes    int64
}

// chunkBuilder collects the lines of the next chunk of one service.
type chunkBuilder struct {
	index byte // into services
	text  bytes.Buffer
	items int
}

// maxServices bounds the services of one file; chunkOf holds indexes in one byte.
const maxServices = 200

// split reads the file and emits its chunks. Errors state the line number.
func (s *splitter) split(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		service, err := s.checkLine(number, text)
		if err != nil {
			return err
		}
		if err := s.add(service, text); err != nil {
			return err
		}
	}
	switch err := scanner.Err(); {
	case errkind.Is(err, errkind.Overloaded):
		return err
	case err != nil:
		return errkind.Malformed.New("line %d: %v (a line may have %d bytes)", number+1, err, maxLineBytes)
	}
	if s.items == 0 {
		return errkind.Malformed.New("the file has no items")
	}
	for _, service := range s.services {
		if err := s.flush(s.builders[service]); err != nil {
			return err
		}
	}
	return nil
}

// add appends a line to the chunk of its service.
func (s *splitter) add(service string, text []byte) error {
	g := s.builders[service]
	if g == nil {
		if len(s.services) == maxServices {
			return errkind.Malformed.New("the file names more than %d services", maxServices)
		}
		g = &chunkBuilder{index: byte(len(s.services))}
		s.builders[service] = g
		s.services = append(s.services, service)
	}
	if g.items >= s.maxItems || (g.items > 0 && g.text.Len()+len(text) >= s.maxBytes) {
		if err := s.flush(g); err != nil {
			return err
		}
	}
	g.text.Write(text)
	g.text.WriteByte('\n')
	g.items++
	s.items++
	s.bytes += int64(len(text)) + 1
	return nil
}

// flush emits the chunk that was collected.
func (s *splitter) flush(g *chunkBuilder) error {
	if g.items == 0 {
		return nil
	}
	n := len(s.chunkOf)
	s.chunkOf = append(s.chunkOf, g.index)
	chunk := bytes.Clone(g.text.Bytes())
	g.text.Reset()
	g.items = 0
	return s.emit(n, chunk)
}

// checkLine validates a line and returns its service.
func (s *splitter) checkLine(number int, text []byte) (string, error) {
	var line Line
	if err := json.Unmarshal(text, &line); err != nil {
		return "", errkind.Malformed.New("line %d: not a valid item: %v", number, err)
	}
	if line.CustomID == "" {
		return "", errkind.Malformed.New(`line %d: "custom_id" is missing`, number)
	}
	hash := xxhash.Sum64String(line.CustomID)
	if s.seen[hash] {
		return "", errkind.Malformed.New("line %d: custom_id %q is used twice", number, line.CustomID)
	}
	s.seen[hash] = true
	service, _, err := line.resolve(s.config, s.workspace)
	if err != nil {
		return "", errkind.ByName(errkind.Of(err).Name).New("line %d: %s", number, errkind.Message(err))
	}
	return service.Name, nil
}

// parseChunk reads the lines of a stored chunk.
func parseChunk(data []byte) ([]Line, error) {
	var lines []Line
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var line Line
		err := decoder.Decode(&line)
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
}
