package dispatch

import (
	"net"
	"sort"
	"strings"

	"apricotrouter/state"
)

// routes maps hosts and path prefixes to services. It is immutable.
type routes struct {
	table    state.Table[*state.Service]
	byHost   map[string][]route // "" for services without a host
	services map[string]*service
}

// route is a path prefix of a service. Lists of routes are sorted by descending
// length of the prefix.
type route struct {
	prefix  string
	service *service
}

// routesFor returns the routes of a state. They are rebuilt only when the
// services have changed.
func (d *Dispatcher) routesFor(s *state.State) *routes {
	r := d.routes.Load()
	if r.table == s.Services {
		return r
	}
	d.routesMu.Lock()
	defer d.routesMu.Unlock()
	r = d.routes.Load()
	if r.table == s.Services {
		return r
	}
	r = buildRoutes(s.Services, r.services)
	d.routes.Store(r)
	return r
}

func buildRoutes(table state.Table[*state.Service], old map[string]*service) *routes {
	r := &routes{table: table, byHost: make(map[string][]route), services: make(map[string]*service)}
	for name, spec := range table.All() {
		svc := old[name]
		if svc == nil {
			svc = newService(name)
		}
		r.services[name] = svc
		if spec.Spec.Host == "" && spec.Spec.PathPrefix == "" {
			continue
		}
		host := strings.ToLower(spec.Spec.Host)
		prefix := strings.TrimSuffix(spec.Spec.PathPrefix, "/")
		r.byHost[host] = append(r.byHost[host], route{prefix: prefix, service: svc})
	}
	for _, list := range r.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return r
}

// find returns the service for a host and path, or nil. Routes with a host take
// precedence over those without.
func (r *routes) find(host, path string) *service {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	host = strings.ToLower(host)
	if s := match(r.byHost[host], path); s != nil || host == "" {
		return s
	}
	return match(r.byHost[""], path)
}

func match(list []route, path string) *service {
	for _, r := range list {
		rest, ok := strings.CutPrefix(path, r.prefix)
		if ok && (rest == "" || rest[0] == '/') {
			return r.service
		}
	}
	return nil
}
