package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"bamboofork/internal/entry"
	"bamboofork/internal/store"
	"bamboofork/internal/wire"
)

const (
	requestTimeout   = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// call sends a request to the entry and decodes the JSON response into out, unless out is nil. The key is sent as the idempotency
// key, unless it is empty. call returns the HTTP status, or 0 if there was no response. If the entry reports that the outcome is
// unknown, the error matches store.ErrUncertain.
func (c *cli) call(ctx context.Context, method, path, key string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.entryURL+path, body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(wire.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.StatusCode, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return resp.StatusCode, problemError(resp.StatusCode, data)
	}
	if out == nil || len(data) == 0 {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.Unmarshal(data, out)
}

// problemError returns the error that an error response of an entry describes. If the outcome is unknown, the error matches
// store.ErrUncertain.
func problemError(status int, data []byte) error {
	var p entry.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Title == "" {
		return fmt.Errorf("status %d: %s", status, bytes.TrimSpace(data))
	}
	if p.Outcome == wire.OutcomeUnknown {
		return fmt.Errorf("%s (%w)", p.Detail, store.ErrUncertain)
	}
	return fmt.Errorf("%s: %s", p.Title, p.Detail)
}
