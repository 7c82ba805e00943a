// Package platform is the client of the platform: its object API (versions,
// conditional writes, watches) and its VM list. The protocol is HTTP with
// conditional requests (RFC 9110, section 13): ETags carry object versions.
//
// A response can be lost after the write took effect. Writes then fail with
// ErrAmbiguous, and the caller finds out by reading the object back and comparing
// its writer token.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/dial"
)

// MaxValueBytes is the size of the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Errors of the object API.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object version does not match")
	ErrAmbiguous   = errors.New("write may have taken effect")
	ErrUnavailable = errors.New("platform unavailable")
	ErrBudget      = callbudget.ErrExhausted
)

// Class is the priority of a call when the budget is short.
type Class = callbudget.Class

// The classes, most important first.
const (
	Lease  = callbudget.Lease
	Commit = callbudget.Commit
	Status = callbudget.Status
)

// Object is one stored value with its version.
type Object struct {
	Name    string
	Version int64
	Value   []byte
}

// VM is an entry of the VM list.
type VM struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Role        string `json:"role"`    // RoleEntry or RoleTarget
	Service     string `json:"service"` // targets only
	Addr        string `json:"addr"`    // targets: engine address; entries: peer address
	Leaving     bool   `json:"leaving"`
}

// Roles of VMs.
const (
	RoleEntry  = "entry"
	RoleTarget = "target"
)

// Client calls the platform within the call budget of this node.
type Client struct {
	base     string
	caller   string
	http     *http.Client
	timeout  time.Duration
	writes   *callbudget.Budget
	reads    *callbudget.Budget
	metrics  tally.Scope
	failures atomic.Int64 // consecutive failures
	onChange func(up bool)
}

// Options configures a client.
type Options struct {
	URL       string
	Caller    string // sent as User-Agent, so that the platform can count calls by caller
	Timeout   time.Duration
	WriteRate int // calls per second
	ReadRate  int // calls per second
	Metrics   tally.Scope
	HTTP      *http.Client
	OnChange  func(up bool) // called when Up changes
}

func New(o Options) *Client {
	if o.OnChange == nil {
		o.OnChange = func(bool) {}
	}
	return &Client{
		base: o.URL, caller: o.Caller, http: dial.WithCheckedAnswers(dial.WithoutRedirects(o.HTTP)), timeout: o.Timeout,
		writes: callbudget.New(o.WriteRate), reads: callbudget.New(o.ReadRate),
		metrics: o.Metrics, onChange: o.OnChange,
	}
}

// downAfter is the number of consecutive failures after which the platform counts as down.
const downAfter = 3

// Up reports whether fewer than downAfter calls in a row have failed.
func (c *Client) Up() bool { return c.failures.Load() < downAfter }

func (c *Client) recordOutcome(ok bool) {
	if ok {
		if c.failures.Swap(0) >= downAfter {
			c.onChange(true)
		}
		return
	}
	if c.failures.Add(1) == downAfter {
		c.onChange(false)
	}
}

// Get reads an object. Errors: ErrNotFound, ErrUnavailable, ErrBudget.
func (c *Client) Get(ctx context.Context, class Class, name string) (Object, error) {
	if err := c.reads.Wait(ctx, class); err != nil {
		return Object{}, err
	}
	resp, err := c.do(ctx, http.MethodGet, "/objects/"+name, nil, nil, c.timeout)
	if err != nil {
		return Object{}, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
		if err != nil || len(value) > MaxValueBytes {
			return Object{}, ErrUnavailable
		}
		return Object{Name: name, Version: parseETag(resp), Value: value}, nil
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	default:
		return Object{}, ErrUnavailable
	}
}

// Create writes an object that must not exist. It returns the new version.
// Errors: ErrConflict (it exists), ErrAmbiguous, ErrUnavailable, ErrBudget.
func (c *Client) Create(ctx context.Context, class Class, name string, value []byte) (int64, error) {
	return c.write(ctx, class, http.MethodPut, name, value, "If-None-Match", "*")
}

// Update replaces an object whose version must be the given one.
func (c *Client) Update(ctx context.Context, class Class, name string, version int64, value []byte) (int64, error) {
	return c.write(ctx, class, http.MethodPut, name, value, "If-Match", etag(version))
}

// Delete removes an object whose version must be the given one.
func (c *Client) Delete(ctx context.Context, class Class, name string, version int64) error {
	_, err := c.write(ctx, class, http.MethodDelete, name, nil, "If-Match", etag(version))
	return err
}

func (c *Client) write(ctx context.Context, class Class, method, name string, value []byte, header, match string) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("value of %d bytes exceeds the platform's limit", len(value))
	}
	if err := c.writes.Wait(ctx, class); err != nil {
		return 0, err
	}
	resp, err := c.do(ctx, method, "/objects/"+name, value, func(h http.Header) { h.Set(header, match) }, c.timeout)
	if err != nil {
		return 0, ErrAmbiguous
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ErrAmbiguous
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return parseETag(resp), nil
	case http.StatusPreconditionFailed:
		return 0, ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, ErrUnavailable // refused without any effect
	default:
		return 0, ErrAmbiguous
	}
}

// List returns the objects whose names start with prefix, including their values.
func (c *Client) List(ctx context.Context, class Class, prefix string) ([]Object, error) {
	if err := c.reads.Wait(ctx, class); err != nil {
		return nil, err
	}
	resp, err := c.do(ctx, http.MethodGet, "/objects/?prefix="+url.QueryEscape(prefix), nil, nil, 5*c.timeout)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, ErrUnavailable
	}
	var objects []Object
	if err := json.NewDecoder(resp.Body).Decode(&objects); err != nil {
		return nil, ErrUnavailable
	}
	return objects, nil
}

// Change is the result of a watch: the objects under the prefix with a version above
// the given one, and the newest version at the platform.
type Change struct {
	Objects []Object
	Newest  int64
}

// Watch waits up to wait for objects under prefix with a version above since. A watch
// counts as one read in the budget, however long it waits.
func (c *Client) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Change, error) {
	if err := c.reads.Wait(ctx, Commit); err != nil {
		return Change{}, err
	}
	path := fmt.Sprintf("/objects/?prefix=%s&watch=%d&wait=%s", url.QueryEscape(prefix), since, wait)
	resp, err := c.do(ctx, http.MethodGet, path, nil, nil, wait+c.timeout)
	if err != nil {
		return Change{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Change{}, ErrUnavailable
	}
	var change Change
	if err := json.NewDecoder(resp.Body).Decode(&change); err != nil {
		return Change{}, ErrUnavailable
	}
	return change, nil
}

// VMs reads the VM list of one data centre. The result may be stale.
func (c *Client) VMs(ctx context.Context, dataCentre string) ([]VM, error) {
	if err := c.reads.Wait(ctx, Status); err != nil {
		return nil, err
	}
	resp, err := c.do(ctx, http.MethodGet, "/vms?data_centre="+url.QueryEscape(dataCentre), nil, nil, c.timeout)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, ErrUnavailable
	}
	var vms []VM
	if err := json.NewDecoder(resp.Body).Decode(&vms); err != nil {
		return nil, ErrUnavailable
	}
	return vms, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header func(http.Header), timeout time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header.Set("User-Agent", c.caller)
	if header != nil {
		header(req.Header)
	}
	c.metrics.Tagged(map[string]string{"method": method}).Counter("platform_calls").Inc(1)
	resp, err := c.http.Do(req)
	if err != nil {
		cancel()
		c.recordOutcome(false)
		return nil, ErrUnavailable
	}
	c.recordOutcome(resp.StatusCode < http.StatusInternalServerError)
	resp.Body = &cancelOnClose{resp.Body, cancel}
	return resp, nil
}

// cancelOnClose releases the call's context when the body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelOnClose) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

func parseETag(resp *http.Response) int64 {
	tag := resp.Header.Get("ETag")
	if len(tag) < 2 {
		return 0
	}
	version, _ := strconv.ParseInt(tag[1:len(tag)-1], 10, 64)
	return version
}
