package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/platform/platformtest"
)

// hostileTime is how long a crowd goes on before the checks. It is longer than
// the time that a client within its limits needs for a request.
const hostileTime = 3 * time.Second

// crowd is a number of hostile clients.
type crowd struct {
	address string
	clients int
	// reopen makes each client open the next connection once the server has
	// closed the present one.
	reopen bool
	// play sends what one client sends on a connection. It returns when a write
	// fails or nothing more is to be sent; the connection then stays open until
	// the server closes it or the crowd ends.
	play func(c *hostileConn)
	// readNothing makes the clients leave all responses unread.
	readNothing bool
}

// hostileConn is the connection of a hostile client.
type hostileConn struct {
	net.Conn
	end <-chan struct{} // closed when the crowd ends
}

// send writes text and reports whether that succeeded.
func (c *hostileConn) send(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// repeat writes text until total bytes have been sent or a write fails, and
// reports whether all were sent.
func (c *hostileConn) repeat(text string, total int) bool {
	for sent := 0; sent < total; sent += len(text) {
		if !c.send(text) {
			return false
		}
	}
	return true
}

// pause waits and reports whether the crowd goes on.
func (c *hostileConn) pause(d time.Duration) bool {
	select {
	case <-c.end:
		return false
	case <-time.After(d):
		return true
	}
}

// start starts the clients. The returned function ends them.
func (h *crowd) start() (stop func()) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	for range h.clients {
		wg.Go(func() {
			for first := true; first || h.reopen; first = false {
				h.connect(end)
				select {
				case <-end:
					return
				case <-time.After(5 * time.Millisecond): // bounds the processor time of a crowd that is refused
				}
			}
			<-end
		})
	}
	return func() { close(end); wg.Wait() }
}

// connect plays one connection until the server closes it or the crowd ends.
func (h *crowd) connect(end <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", h.address, requestAttempt)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(ended)
	wg.Go(func() { // ends blocked reads and writes
		select {
		case <-end:
		case <-ended:
		}
		_ = conn.Close()
	})
	if h.readNothing {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		h.play(&hostileConn{conn, end})
		<-end
		return
	}
	played := make(chan struct{})
	go func() {
		defer close(played)
		h.play(&hostileConn{conn, end})
	}()
	_, _ = io.Copy(io.Discard, conn) // until the server closes the connection
	_ = conn.Close()
	<-played
}

const (
	requestLine = "POST /jobs/00000000000000bb HTTP/1.1\r\nHost: jobs.example\r\n"
	chunkedHead = requestLine + "Transfer-Encoding: chunked\r\n\r\n"
)

// openChunk is the first chunk of the body of a submission.
var openChunk = fmt.Sprintf("%x\r\n%s\r\n", len(platformtest.OpenSubmission), platformtest.OpenSubmission)

func bodyHead(length int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", requestLine, length)
}

// hostileCase is one kind of hostile client.
type hostileCase struct {
	name  string
	crowd crowd
}

// run lets the crowd act, checks the node that it connects to, and has an
// ordinary request answered while the connections of the crowd are still there.
func (c *hostileCase) run(t *testing.T, target func(nodes) (n *node, address string), ordinary func(nodes)) {
	t.Run(c.name, func(t *testing.T) {
		all := startNodes(t)
		n, address := target(all)
		h := c.crowd
		h.address = address
		stop := h.start()
		defer stop()
		time.Sleep(hostileTime)
		t.Logf("peak memory %d MiB, %d descriptors", n.peakMemoryMiB(), n.descriptors())
		n.expectWithinLimits("during the hostile requests")
		ordinary(all)
		n.expectWithinLimits("after the ordinary request")
		t.Logf("peak memory %d MiB, %d descriptors at the end", n.peakMemoryMiB(), n.descriptors())
	})
}

// Guards against an entry instance that runs out of memory or descriptors, ends
// or no longer answers ordinary clients because of clients that keep to no limit.
func TestEntryWithstandsHostileClients(t *testing.T) {
	const mib = 1 << 20
	line := "X-Filler: " + strings.Repeat("a", 4000) + "\r\n"
	uniqueHeaders := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "h%d:\r\n", i)
		}
		return b.String()
	}
	many := uniqueHeaders(80_000)
	deep := strings.Repeat("[", mib-200)
	steps := platformtest.EmptySteps((mib-100)/3 + 1)
	var (
		over    = callersSlots + 20 // clients that take all connections
		crowded = 150               // clients that take most connections
	)
	cases := []hostileCase{
		{"headers over the limit, not finished", crowd{clients: crowded, play: func(c *hostileConn) {
			_ = c.send(requestLine) && c.repeat(line, mib-8<<10)
		}}},
		{"headers over the limit, finished", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(requestLine) && c.repeat(line, mib-8<<10) && c.send("\r\n")
		}}},
		{"headers without end", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(requestLine) && c.repeat(line, 64*mib)
		}}},
		{"one header line without end", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(requestLine+"X-Filler: ") && c.repeat(strings.Repeat("a", 4096), 64*mib)
		}}},
		{"empty lines before the first request", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			c.repeat(strings.Repeat("\r\n", 2048), 64*mib)
		}}},
		{"empty lines after a request", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(bodyHead(2)+"{}") && c.repeat(strings.Repeat("\r\n", 2048), 64*mib)
		}}},
		{"empty lines, slowly", crowd{clients: over, reopen: true, play: func(c *hostileConn) {
			for c.send("\r\n") && c.pause(300*time.Millisecond) {
			}
		}}},
		{"thousands of headers", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(requestLine) && c.send(many) && c.send("\r\n")
		}}},
		{"chunked body without end", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(chunkedHead+openChunk) && c.repeat("1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n", 64*mib)
		}}},
		{"chunked bodies up to the limit, not finished", crowd{clients: crowded, play: func(c *hostileConn) {
			_ = c.send(chunkedHead+openChunk) && c.repeat("1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n", mib-8<<10)
		}}},
		{"chunk extensions without end", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(chunkedHead+"1;x=") && c.repeat(strings.Repeat("a", 4096), 64*mib)
		}}},
		{"many chunk extensions", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(chunkedHead) && c.repeat("1;x="+strings.Repeat("a", 1000)+"\r\n \r\n", 64*mib)
		}}},
		{"large bodies, slowly", crowd{clients: crowded, play: func(c *hostileConn) {
			_ = c.send(bodyHead(mib-1)+platformtest.OpenSubmission) && c.repeat(strings.Repeat("a", 4096), mib-16<<10)
			for c.pause(time.Second) && c.send("a") {
			}
		}}},
		{"small bodies, slowly", crowd{clients: over, reopen: true, play: func(c *hostileConn) {
			ok := c.send(bodyHead(1000) + platformtest.OpenSubmission)
			for ok && c.pause(300*time.Millisecond) {
				ok = c.send("a")
			}
		}}},
		{"bodies of refused requests, slowly", crowd{clients: over, reopen: true, play: func(c *hostileConn) {
			ok := c.send("PATCH / HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 1000\r\n\r\n")
			for ok && c.pause(300*time.Millisecond) {
				ok = c.send("a")
			}
		}}},
		{"headers, slowly", crowd{clients: over, reopen: true, play: func(c *hostileConn) {
			ok := c.send(requestLine)
			for ok && c.pause(300*time.Millisecond) {
				ok = c.send("a: b\r\n")
			}
		}}},
		{"pipelined requests, responses not read", crowd{clients: 60, readNothing: true, play: func(c *hostileConn) {
			c.repeat(strings.Repeat("PATCH / HTTP/1.1\r\nHost: jobs.example\r\n\r\n", 100), 64*mib)
		}}},
		{"connections that only open", crowd{clients: over, reopen: true, play: func(*hostileConn) {}}},
		{"half-closed connections", crowd{clients: over, reopen: true, play: func(c *hostileConn) {
			if c.send(bodyHead(1000) + platformtest.OpenSubmission) {
				_ = c.Conn.(*net.TCPConn).CloseWrite()
			}
		}}},
		{"deeply nested JSON", crowd{clients: crowded, reopen: true, play: func(c *hostileConn) {
			_ = c.send(bodyHead(len(deep)+5)+`{"a":`) && c.send(deep)
		}}},
		{"hundreds of thousands of steps", crowd{clients: 30, reopen: true, play: func(c *hostileConn) {
			_ = c.send(bodyHead(len(steps))) && c.send(steps)
		}}},
		{"unknown paths at a high rate", crowd{clients: 50, play: func(c *hostileConn) {
			for i := 0; c.send(fmt.Sprintf("GET /%d/%s HTTP/1.1\r\nHost: h%d.example\r\nAuthorization: Bearer k%d\r\n\r\n", i, strings.Repeat("x", 12<<10), i, i)); i++ {
				if !c.pause(time.Millisecond) {
					return
				}
			}
		}}},
	}
	for i := range cases {
		cases[i].run(t, func(all nodes) (*node, string) { return all.entry, all.entry.callers }, nodes.expectSubmission)
	}
}

// Guards against a control instance that runs out of memory or descriptors, ends
// or no longer accepts heartbeats because of clients of its port for operators
// and workers.
func TestControlWithstandsHostileClients(t *testing.T) {
	const mib = 1 << 20
	put := func(path string, length int) string {
		return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n", path, length)
	}
	routes := platformtest.EmptyQueues(2*mib + 1)
	labels := platformtest.EmptyLabels(mib + 1)
	large := platformtest.Config(2, 700<<10)
	over := controlSlots + 10
	cases := []hostileCase{
		{"configurations with millions of routes", crowd{clients: 10, reopen: true, play: func(c *hostileConn) {
			_ = c.send(put(platformtest.ConfigPath, len(routes))) && c.send(routes)
		}}},
		{"heartbeats with a million labels", crowd{clients: 20, reopen: true, play: func(c *hostileConn) {
			_ = c.send(put(platformtest.WorkerPath("i-2"), len(labels))) && c.send(labels)
		}}},
		{"large configurations, slowly", crowd{clients: over, reopen: true, play: func(c *hostileConn) {
			_ = c.send(put(platformtest.ConfigPath, 8*mib)) && c.repeat(strings.Repeat(" ", 4096), 7*mib)
			for c.pause(time.Second) && c.send(" ") {
			}
		}}},
		{"heartbeats, slowly", crowd{clients: over, reopen: true, play: func(c *hostileConn) {
			ok := c.send(put(platformtest.WorkerPath("i-2"), 1000))
			for ok && c.pause(300*time.Millisecond) {
				ok = c.send(" ")
			}
		}}},
		{"headers without end", crowd{clients: over, reopen: true, play: func(c *hostileConn) {
			_ = c.send("PUT "+platformtest.ConfigPath+" HTTP/1.1\r\nHost: c\r\n") && c.repeat("X-Filler: "+strings.Repeat("a", 4000)+"\r\n", 64*mib)
		}}},
		{"connections that only open", crowd{clients: over, reopen: true, play: func(*hostileConn) {}}},
		{"large responses, not read", crowd{clients: over, readNothing: true, play: func(c *hostileConn) {
			c.repeat("GET "+platformtest.ConfigPath+" HTTP/1.1\r\nHost: c\r\n\r\n", 4000)
		}}},
	}
	for i := range cases {
		cases[i].run(t, func(all nodes) (*node, string) {
			if strings.HasPrefix(cases[i].name, "large responses") {
				all.control.Eventually(func() (int, error) { return send(http.MethodPut, all.control.control, platformtest.ConfigPath, large) },
					startTimeout, "50ms").Should(Equal(http.StatusOK))
			}
			return all.control, all.control.control
		}, nodes.expectHeartbeat)
	}
}

// Guards against limits that refuse a client at the limits that operators
// promise: a header of 16 KiB that takes 2 s, and a body of 256 KiB that takes 2 s
// more. A heartbeat of 4 MiB and a configuration near the largest that the log
// stores are accepted, too.
func TestRequestsAtThePromisedLimitsAreServed(t *testing.T) {
	all := startNodes(t)
	g := all.entry
	const (
		kib          = 1 << 10
		promisedBody = 256 * kib
		steps        = 10 // in which header and body are sent
	)
	conn, err := net.Dial("tcp", all.entry.callers)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	slowly := func(text string) {
		for part := range steps {
			_, err := io.WriteString(conn, text[len(text)*part/steps:len(text)*(part+1)/steps])
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(200 * time.Millisecond)
		}
	}
	head := strings.TrimSuffix(bodyHead(promisedBody), "\r\n") + platformtest.DeadlineHeader + ": 10000\r\nX-Filler: "
	slowly(head + strings.Repeat("a", 16*kib-len(head)-4) + "\r\n\r\n")
	slowly(platformtest.SubmissionOf(promisedBody))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), all.entry.log())
	_ = resp.Body.Close()

	heartbeat := platformtest.HeartbeatBody(4*kib*kib - kib)
	g.Eventually(func() (int, error) {
		return send(http.MethodPut, all.control.control, platformtest.WorkerPath("i-1"), heartbeat)
	},
		requestGivenUp, "100ms").Should(Equal(http.StatusOK), all.control.log)
	config := platformtest.Config(2, 900*kib)
	g.Eventually(func() (int, error) { return send(http.MethodPut, all.control.control, platformtest.ConfigPath, config) },
		requestGivenUp, "100ms").Should(Equal(http.StatusOK), all.control.log)
}
