package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/httptransport"
	"oriolevalve/internal/rawjson"

	"github.com/cockroachdb/errors"
)

// callTimeout limits a call other than a watch. It leaves time for a second
// connection within the 5 s that a commit waits, since an open connection may
// have gone silent while new ones work.
const callTimeout = 2 * time.Second

// HTTPClient is the object API over HTTP. The value is the body, the version
// is the entity tag, and conditions are those of RFC 9110.
type HTTPClient struct {
	base   string
	client *http.Client
	clock  clock.Clock
	calls  Calls
	// malformed is told of each entry of a list that can't be read.
	malformed func(reason error)
}

// HTTPOption configures an HTTPClient.
type HTTPOption func(*HTTPClient)

// WithClock sets the time source of the watch's silence.
func WithClock(c clock.Clock) HTTPOption { return func(h *HTTPClient) { h.clock = c } }

// WithTransport sets the transport, for example one with TLS settings.
func WithTransport(t http.RoundTripper) HTTPOption {
	return func(h *HTTPClient) { h.client.Transport = t }
}

// WithMalformedEntries sets a function that is told of each entry of a list that can't be read.
func WithMalformedEntries(malformed func(reason error)) HTTPOption {
	return func(h *HTTPClient) { h.malformed = malformed }
}

// NewHTTPClient returns a client of the API at a base URL.
func NewHTTPClient(base string, options ...HTTPOption) (*HTTPClient, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "platform address")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errors.Newf("platform address %q is not an http or https URL", base)
	}
	h := &HTTPClient{
		base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: httptransport.New()}, clock: clock.System{},
		malformed: func(error) {},
	}
	for _, o := range options {
		o(h)
	}
	return h, nil
}

// Calls returns the counters of the client's calls.
func (h *HTTPClient) Calls() *Calls { return &h.calls }

// Get implements Client.
func (h *HTTPClient) Get(ctx context.Context, key string) (Object, error) {
	answer, err := h.call(ctx, CallGet, http.MethodGet, key, objectPath(key), nil, nil)
	if err != nil {
		return Object{}, err
	}
	return Object{Version: answer.version, Value: answer.body}, nil
}

// Create implements Client.
func (h *HTTPClient) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return h.write(ctx, CallCreate, key, value, http.Header{"If-None-Match": {"*"}})
}

// UpdateIfVersion implements Client.
func (h *HTTPClient) UpdateIfVersion(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	return h.write(ctx, CallUpdate, key, value, http.Header{"If-Match": {EntityTag(version)}})
}

// Delete implements Client.
func (h *HTTPClient) Delete(ctx context.Context, key string) error {
	_, err := h.call(ctx, CallDelete, http.MethodDelete, key, objectPath(key), nil, nil)
	return err
}

// HostList implements Client. A host whose entry can't be read does not hide the others.
func (h *HTTPClient) HostList(ctx context.Context) ([]Host, error) {
	answer, err := h.call(ctx, CallHostList, http.MethodGet, "", "/hosts", nil, nil)
	if err != nil {
		return nil, err
	}
	entries, err := rawjson.Elements(answer.body)
	if err != nil {
		return nil, &Error{Kind: KindAnswerLost, Call: CallHostList, Cause: err}
	}
	var list []Host
	for i, entry := range entries {
		host, err := decodeHost(entry)
		if err != nil {
			h.malformed(errors.Wrapf(err, "entry %d of the list of hosts", i))
			continue
		}
		list = append(list, host)
	}
	return list, nil
}

func decodeHost(data []byte) (Host, error) {
	var host Host
	if err := json.Unmarshal(data, &host); err != nil {
		return Host{}, err
	}
	if host.ID == "" {
		return Host{}, errors.New("the host has no identifier")
	}
	_, err := netip.ParseAddrPort(host.Address)
	return host, err
}

func (h *HTTPClient) write(
	ctx context.Context, call, key string, value []byte, header http.Header,
) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, &Error{
			Kind: KindRefused, Call: call, Key: key,
			Cause: errors.Newf("the value takes %d bytes, the limit is %d", len(value), MaxValueBytes),
		}
	}
	answer, err := h.call(ctx, call, http.MethodPut, key, objectPath(key), value, header)
	if err != nil {
		return 0, err
	}
	return answer.version, nil
}

type answer struct {
	version uint64
	body    []byte
}

// call performs one call. Before a connection was obtained nothing can have
// been sent. After that, a missing answer leaves the effect open.
func (h *HTTPClient) call(
	ctx context.Context, call, method, key, path string, value []byte, header http.Header,
) (answer, error) {
	h.calls.Add(call)
	ctx, cancel := h.withTimeout(ctx)
	defer cancel()
	fail := func(kind Kind, cause error) (answer, error) {
		if kind == KindAnswerLost {
			// Other open connections may be silent as well.
			h.client.CloseIdleConnections()
		}
		return answer{}, &Error{Kind: kind, Call: call, Key: key, Cause: cause}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(value))
	if err != nil {
		return fail(KindRefused, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := h.client.Do(request)
	if err != nil {
		if connected.Load() {
			return fail(KindAnswerLost, err)
		}
		return fail(KindNotSent, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, 2*MaxValueBytes))
	if kind, failed := kindOfStatus(response.StatusCode); failed {
		return fail(kind, errors.Newf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body))))
	}
	if err != nil {
		return fail(KindAnswerLost, err)
	}
	a := answer{body: body}
	if tag := response.Header.Get("ETag"); tag != "" {
		if a.version, err = ParseEntityTag(tag); err != nil {
			return fail(KindAnswerLost, err)
		}
	}
	return a, nil
}

// withTimeout returns a context that ends after callTimeout on the client's
// clock. The returned function must be called.
func (h *HTTPClient) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timeout := h.clock.After(callTimeout)
	go func() {
		select {
		case <-timeout:
			cancel(errors.Newf("no answer for %s", callTimeout))
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// kindOfStatus classifies an answer. A platform that is overloaded turns calls
// away with 429 or 503 before it runs them; with other 5xx codes the effect is
// open.
func kindOfStatus(status int) (Kind, bool) {
	switch {
	case status >= 200 && status < 300:
		return "", false
	case status == http.StatusNotFound:
		return KindNotFound, true
	case status == http.StatusPreconditionFailed:
		return KindConflict, true
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return KindNotSent, true
	case status >= 500:
		return KindAnswerLost, true
	default:
		return KindRefused, true
	}
}

// WatchLine is one line of a watch's answer.
type WatchLine struct {
	// Type is WatchHeartbeat or WatchChanged.
	Type string `json:"type"`
}

// The types of watch lines.
const (
	WatchHeartbeat = "heartbeat"
	WatchChanged   = "changed"
)

// Watch implements Client.
func (h *HTTPClient) Watch(ctx context.Context, key string, version uint64) (Object, error) {
	h.calls.Add(CallWatch)
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	fail := func(cause error) (Object, error) {
		return Object{}, &Error{Kind: KindAnswerLost, Call: CallWatch, Key: key, Cause: cause}
	}
	request, err := http.NewRequestWithContext(watching, http.MethodGet,
		h.base+"/watch/"+escape(key)+"?version="+strconv.FormatUint(version, 10), nil)
	if err != nil {
		return fail(err)
	}
	// The end of the answer is seen only after its last line, because a platform
	// ends the watch when it has sent the change.
	lines := make(chan WatchLine)
	var failure error
	go func() {
		failure = h.readWatch(request, lines)
		close(lines)
	}()
	for {
		select {
		case <-h.clock.After(WatchSilence):
			return fail(errors.Newf("no heartbeat for %s", WatchSilence))
		case line, open := <-lines:
			if !open {
				return fail(failure)
			}
			if line.Type != WatchChanged {
				continue
			}
			cancel()
			object, err := h.Get(ctx, key)
			if err != nil && KindOf(err) == KindNotFound {
				return Object{}, nil
			}
			return object, err
		}
	}
}

// readWatch sends the lines of a watch to a channel until the request ends.
func (h *HTTPClient) readWatch(request *http.Request, lines chan<- WatchLine) error {
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		var line WatchLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return errors.Wrap(err, "watch line")
		}
		select {
		case lines <- line:
		case <-request.Context().Done():
			return request.Context().Err()
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.New("the platform ended the watch")
}

// EntityTag returns the entity tag of a version.
func EntityTag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseEntityTag returns the version of an entity tag.
func ParseEntityTag(tag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || EntityTag(version) != tag {
		return 0, errors.Newf("%q is not the entity tag of a version", tag)
	}
	return version, nil
}

func objectPath(key string) string { return "/objects/" + escape(key) }

// escape escapes a key but keeps its slashes.
func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
