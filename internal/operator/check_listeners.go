package operator

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
)

const (
	maxListeners      = 64
	maxBody      Size = 1 << 40
	maxStreams        = 10_000 // gRPC calls on one connection
)

func (c *checker) checkListeners() {
	list := c.cfg.Listeners
	if len(list) == 0 {
		c.report("listener", errors.New("the file has no listener: at least one is required"))
	}
	if c.checkCount("listener", len(list), maxListeners) {
		return
	}
	seen := map[string]string{}
	for i := range list {
		path := fmt.Sprintf("listener[%d]", i)
		c.checkUniqueName(path, list[i].Name, seen)
		c.checkListener(path, &list[i], list[:i])
	}
}

// checkListener checks one listener, and that its address does not overlap with that of a listener before it.
func (c *checker) checkListener(path string, l *Listener, before []Listener) {
	if l.Front != HTTP && l.Front != GRPC && l.Front != Auto {
		c.reportf(path+".front", "%q is unknown: must be \"http\", \"grpc\" or \"auto\"", l.Front)
	}
	checkRange(c.document, path+".streams", l.Streams, 1, maxStreams)
	c.loadCertificate(path, l)
	checkRange(c.document, path+".max_body", l.MaxBody, 1, maxBody)
	if err := validateAddress(l.Address, true); err != nil {
		c.report(path+".address", err)
		return
	}
	for _, other := range before {
		if addressesOverlap(other.Address, l.Address) {
			c.reportf(path+".address", "%s overlaps with %s of listener %q", l.Address, other.Address, other.Name)
		}
	}
}

// loadCertificate loads the certificate of a listener with TLS and adds it to the hash of the file.
func (c *checker) loadCertificate(path string, l *Listener) {
	if l.Certificate == "" && l.Key == "" {
		return
	}
	if l.Certificate == "" || l.Key == "" {
		c.report(path+".certificate", errors.New("certificate and key must be set together"))
		return
	}
	ResolvePath(c.folder, &l.Certificate)
	ResolvePath(c.folder, &l.Key)
	certificate, err := ReadFile(l.Certificate)
	if err != nil {
		c.report(path+".certificate", err)
		return
	}
	key, err := ReadFile(l.Key)
	if err != nil {
		c.report(path+".key", err)
		return
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		c.report(path+".certificate", err)
		return
	}
	c.sum.Write(certificate)
	c.cfg.Certificates[l.Name] = &pair
}

// addressesOverlap reports whether two addresses cannot be listened on at the same time.
func addressesOverlap(a, b string) bool {
	hostA, portA, errA := net.SplitHostPort(a)
	hostB, portB, errB := net.SplitHostPort(b)
	if errA != nil || errB != nil || portA != portB || portA == "0" {
		return false
	}
	ipA, ipB := parseListenIP(hostA), parseListenIP(hostB)
	if ipA == nil || ipB == nil {
		return hostA == hostB
	}
	return ipA.IsUnspecified() || ipB.IsUnspecified() || ipA.Equal(ipB)
}

// parseListenIP returns the IP address of the host of a listener, or nil for a host name other than localhost.
func parseListenIP(host string) net.IP {
	switch host {
	case "":
		return net.IPv6unspecified
	case "localhost":
		return net.IPv4(127, 0, 0, 1)
	}
	return net.ParseIP(host)
}

// accepts reports whether a listener accepts requests of a protocol.
func (l *Listener) accepts(protocol string) bool { return l.Front == protocol || l.Front == Auto }
