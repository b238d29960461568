package conns_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotrouter/conns"
)

// FuzzConnection guards against bytes on a connection that end the process, keep
// the connection open beyond its time limits, or stay charged.
func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", post("/", 5) + "hello" + post("/", 2) + "{}", post("/", 100) + "short",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nTrailer: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", "\r\n\r\n\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x02\x00",
		"GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", 1000), strings.Repeat("x", 20_000),
	} {
		f.Add([]byte(seed))
	}
	limits := conns.Limits{
		HeaderBytes: 4 << 10, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond,
		BodyGrace: 50 * time.Millisecond, BodyRate: 1 << 20, WriteTimeout: 50 * time.Millisecond,
	}
	budget := conns.NewBudget(conns.Options{})
	guard := conns.NewGuard(conns.GuardOptions{Budget: budget, MemoryBytes: 8 << 20})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	server := guard.NewServer(conns.Callers, limits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, http.MaxBytesReader(w, r.Body, 64<<10))
	}))
	go func() { _ = server.Serve(guard.Listen(l, conns.Callers, limits)) }()
	f.Cleanup(func() { _ = server.Close() })
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Skip(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write(data) // the server may have closed the connection
		_ = c.SetReadDeadline(time.Now().Add(eventuallyTimeout))
		if _, err := io.Copy(io.Discard, c); err != nil && isTimeout(err) {
			t.Fatalf("the connection is still open after %v", eventuallyTimeout)
		}
		for end := time.Now().Add(eventuallyTimeout); budget.Open(conns.Callers) > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the connection still counts as open")
			}
		}
		if used := guard.Used(conns.Callers); used != 0 {
			t.Fatalf("%d bytes are charged without a connection", used)
		}
	})
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
