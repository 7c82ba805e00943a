package hosted

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Event is one event that a caller received.
type Event struct {
	ID      int
	Data    string
	Version string // of the runner that wrote it
	Attempt string // ID of the attempt that received it
}

// ReturningCaller asks for a stream and, while the stream breaks off, returns at other nodes
// with Last-Event-Id and Resumes.
type ReturningCaller struct {
	Name   string // attempt n has the ID Name-n
	Path   string
	Header map[string]string // of each attempt
	// Events are those of all attempts, in the order received.
	Events   []Event
	Attempts int
	Status   int    // of the last attempt; 0: no response
	Refusal  string // body of the last response, if it was no stream
	RetryIn  string // Retry-After of the last response
	Complete bool   // the last attempt ended as a complete answer
	resumes  string // ID of the attempt that brought the first event
}

// errHungUp ends an attempt that the caller gave up.
var errHungUp = errors.New("the caller hung up")

// Attempt makes one attempt at a node. onEvent is called with each event; if it returns false,
// the caller closes the connection.
func (c *ReturningCaller) Attempt(ctx context.Context, node string, onEvent func(Event) bool) error {
	id := fmt.Sprint(c.Name, "-", c.Attempts)
	c.Attempts++
	c.Status, c.Refusal, c.RetryIn = 0, "", ""
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+c.Path, bytes.NewReader([]byte(c.Name)))
	if err != nil {
		return err
	}
	req.Host = Host
	req.Header.Set("X-Marblepond-Request-Id", id)
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	if len(c.Events) > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.Events[len(c.Events)-1].ID))
		req.Header.Set("Resumes", c.resumes)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.Status, c.RetryIn = resp.StatusCode, resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		c.Refusal = strings.TrimSpace(string(body))
		return nil
	}
	if err := c.readEvents(resp.Body, id, onEvent); err != nil {
		return err
	}
	c.Complete = true
	return nil
}

func (c *ReturningCaller) readEvents(body io.Reader, attempt string, onEvent func(Event) bool) error {
	lines := bufio.NewReader(body)
	var e Event
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		field, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch field {
		case "id":
			if e.ID, err = strconv.Atoi(value); err != nil {
				return err
			}
		case "data":
			e.Data, e.Version = value, VersionOfEvent(value)
		case "":
			if len(c.Events) == 0 {
				c.resumes = attempt
			}
			e.Attempt = attempt
			c.Events = append(c.Events, e)
			if onEvent != nil && !onEvent(e) {
				return errHungUp
			}
			e = Event{}
		}
	}
}

// returnDelay is how long a caller takes to return after its stream broke off.
const returnDelay = 20 * time.Millisecond

// Run makes attempts, each at the next of the nodes, until the answer is complete, a node
// refuses it or there have been as many attempts as nodes are given.
func (c *ReturningCaller) Run(ctx context.Context, nodes []string) {
	for _, node := range nodes {
		if err := c.Attempt(ctx, node, nil); err == nil || ctx.Err() != nil {
			return
		}
		time.Sleep(returnDelay)
	}
}

// Versions returns the versions that wrote the events, each once.
func (c *ReturningCaller) Versions() []string {
	var versions []string
	for _, e := range c.Events {
		if !slices.Contains(versions, e.Version) {
			versions = append(versions, e.Version)
		}
	}
	return versions
}

// Fault returns what is wrong with the events received: a gap, a repeated event, or events of
// several versions; empty: nothing.
func (c *ReturningCaller) Fault() string {
	for i, e := range c.Events {
		if e.ID != i+1 {
			return fmt.Sprintf("event %d came as number %d", e.ID, i+1)
		}
		if e.Data != eventData(e.Attempt, e.ID, e.Version) {
			return fmt.Sprintf("event %d of attempt %s holds %q", e.ID, e.Attempt, e.Data)
		}
	}
	if versions := c.Versions(); len(versions) > 1 {
		return fmt.Sprintf("events of versions %v", versions)
	}
	return ""
}
