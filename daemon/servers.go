package daemon

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"apricotrouter/conns"
	"apricotrouter/transport"
)

// clientLimits are the limits of the HTTP servers.
var clientLimits = conns.Limits{HeaderBytes: 64 << 10}

func (d *Daemon) wireServers() error {
	tlsConfig, err := d.cfg.TLS.PeerServer()
	if err != nil {
		return err
	}
	// The settings of this daemon have no limit of memory or descriptors.
	d.guard = conns.NewGuard(conns.GuardOptions{Logger: d.logger, Registerer: d.metrics})
	d.entry = d.guard.NewServer(conns.Callers, clientLimits, d.entryHandler())
	d.peer = d.guard.NewServer(conns.Peers, clientLimits, d.peerHandler())
	d.peer.TLSConfig = tlsConfig
	d.admin = d.guard.NewServer(conns.Probes, clientLimits, d.adminHandler())
	return nil
}

// entryHandler serves callers' requests and endpoint announcements.
func (d *Daemon) entryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/announce", d.registry.AnnounceHandler())
	mux.Handle("/", d.dispatch.EntryHandler())
	return mux
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+transport.Path, d.mesh)
	mux.Handle("/v1/forward", d.dispatch.ForwardHandler())
	return mux
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.metrics, promhttp.HandlerOpts{}))
	return mux
}

// serve runs one HTTP server until it is shut down or closed.
func (d *Daemon) serve(s *http.Server, l net.Listener, use conns.Use) {
	l = d.guard.Listen(l, use, clientLimits)
	if s.TLSConfig != nil {
		l = tls.NewListener(l, s.TLSConfig)
	}
	d.components.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(err)
		}
	})
}

// closeServers closes the servers that Shutdown did not: the admin server, and
// after a failure all of them.
func (d *Daemon) closeServers() {
	for _, s := range []*http.Server{d.entry, d.peer, d.admin} {
		_ = s.Close()
	}
}

// Kill stops the instance without a graceful shutdown, to simulate the loss of
// the process. Run then returns.
func (d *Daemon) Kill() {
	d.fail(errKilled)
	d.closeServers()
}

var errKilled = errors.New("instance was killed")

// registerProcessMetrics registers the metrics of the build, the Go runtime and
// the process.
func registerProcessMetrics(r *prometheus.Registry, version string) {
	info := prometheus.NewGauge(prometheus.GaugeOpts{
		Name:        "apricotrouter_build_info",
		Help:        "Always 1; the label names the version of the program.",
		ConstLabels: prometheus.Labels{"version": version},
	})
	info.Set(1)
	r.MustRegister(info, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}
