package dispatch_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/dispatch"
	"apricotrouter/standin/endpoint"
)

// benchClient returns a client that reuses connections, as callers do.
func benchClient(b *testing.B) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func benchRequest(b *testing.B, client *http.Client, method, url, body, id string) {
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, url, in)
	if err != nil {
		b.Fatal(err)
	}
	if id != "" {
		req.Header.Set(dispatch.HeaderRequestID, id)
	}
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.StatusCode, err)
	}
}

// BenchmarkRequest measures requests through the dispatcher and, as a baseline,
// direct requests to the same endpoint. The overhead of the dispatcher is the
// difference.
func BenchmarkRequest(b *testing.B) {
	c := newCluster(b, 2)
	e := c.addEndpoint(0, endpoint.Options{Slots: 256, ConnectionLimit: 256})
	client := benchClient(b)
	c.g.Eventually(func() bool { return c.instances[1].registry.HasEndpoint(service) }).Should(BeTrue())
	targets := []struct{ name, url string }{
		{"direct", "http://" + e.Address()},
		{"owned", c.instances[0].entry.URL},
		{"hop", c.instances[1].entry.URL},
	}
	claimed := 0 // request IDs must be unique, or the ledger returns the recorded response
	for _, t := range targets {
		url := t.url + "/receipts/1"
		b.Run(t.name+"/get", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchRequest(b, client, http.MethodGet, url, "", "")
			}
			e.ClearRecords()
		})
		b.Run(t.name+"/post-1k", func(b *testing.B) {
			body := strings.Repeat("x", 1<<10)
			b.ReportAllocs()
			for b.Loop() {
				benchRequest(b, client, http.MethodPost, url, body, "")
			}
			e.ClearRecords()
		})
		if t.name != "direct" {
			b.Run(t.name+"/post-claimed", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					claimed++
					benchRequest(b, client, http.MethodPost, url, "gift", fmt.Sprint("claimed-", claimed))
				}
				e.ClearRecords()
			})
		}
		b.Run(t.name+"/get-parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					benchRequest(b, client, http.MethodGet, url, "", "")
				}
			})
			e.ClearRecords()
		})
	}
}
