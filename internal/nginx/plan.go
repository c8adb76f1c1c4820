package nginx

import (
	"time"
)

// settings are the values that servers and locations inherit, each with the directive that sets it.
type settings struct {
	connect, read, body              *Directive
	nextUpstream, tries, nextTimeout *Directive
	headers                          []*Directive // proxy_set_header: those of the innermost level that has any
	connectTime, readTime            time.Duration
	bodySize                         int64
	attempts                         int
	certificate, key                 *Directive
	pages                            []*Directive // error_page: those of the innermost level that has any
	intercept, recursive             *Directive
}

// poolPlan is a pool of the operator file.
type poolPlan struct {
	name           string
	directive      *Directive // the upstream, or the first proxy_pass
	servers        []serverPlan
	readTimeouts   []time.Duration // of the locations that use the pool, in the order of the file
	connectTimeout time.Duration
	attempts       int
	users          []*settings
}

// serverPlan is a server of a pool.
type serverPlan struct {
	directive    *Directive
	address, id  string
	weight       string
	backup, down bool
}

// listenerPlan is a listener of the operator file.
type listenerPlan struct {
	name, address            string
	directives               []*Directive
	certificate, key         string
	certificateFrom, keyFrom *Directive
	maxBody                  int64
	defaultServer            *siteServer
}

// siteServer is a server block, which becomes a site.
type siteServer struct {
	directive *Directive
	name      string
	names     []*Directive
	hosts     []string
	listeners []*listenerPlan
	steps     []stepPlan
	pages     []pagePlan
	recursive *Directive
	locations []*locationPlan
}

// stepPlan is a step of a site or a location, as lines of the operator file.
type stepPlan struct {
	directive *Directive
	lines     []string
}

// locationPlan is a location of a site.
type locationPlan struct {
	directive     *Directive // nil for a location that nginx adds implicitly
	name          string
	field         string
	path          string
	steps         []stepPlan
	proxy         *proxyPlan
	bodyDirective *Directive
	maxBody       int64
	locations     []*locationPlan

	pages               []pagePlan
	intercept, internal *Directive
}

// proxyPlan says how a location sends requests to a pool.
type proxyPlan struct {
	directive       *Directive
	pool            *poolPlan
	readTimeout     time.Duration
	replace, target string
	headers         []headerPlan
	settings        *settings
}

// headerPlan is a header that is set in requests to a server.
type headerPlan struct {
	directive   *Directive // nil for the default Host
	name, value string
}
