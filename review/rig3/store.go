package main

import (
	"bytes"
	"encoding/json"
	"net/http"
)

// pagedStore is the project's stand-in for the store with pages of 1 MB at most, as PROTOCOL says. The project's own pages have 20 items of
// any size.
type pagedStore struct{ inner http.Handler }

// pageBytes is the size of a page of items.
const pageBytes = 1 << 20

// buffered is a response that is not sent yet.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) WriteHeader(status int)      { b.status = status }
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }

// ServeHTTP implements http.Handler.
func (s pagedStore) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/kv-range" {
		s.inner.ServeHTTP(out, r)
		return
	}
	whole := &buffered{header: http.Header{}, status: http.StatusOK}
	s.inner.ServeHTTP(whole, r)
	var page struct {
		Items []json.RawMessage `json:"items"`
		More  bool              `json:"more_pages"`
		AsOf  int64             `json:"as_of"`
	}
	body := whole.body.Bytes()
	if whole.status == http.StatusOK && json.Unmarshal(body, &page) == nil {
		size, count := 0, 0
		for ; count < len(page.Items) && (count == 0 || size+len(page.Items[count]) <= pageBytes); count++ {
			size += len(page.Items[count])
		}
		if count < len(page.Items) {
			page.Items, page.More = page.Items[:count], true
		}
		if cut, err := json.Marshal(page); err == nil {
			body = cut
		}
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(whole.status)
	out.Write(body) //nolint:errcheck // the caller may be gone
}
