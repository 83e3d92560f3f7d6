package syslog

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
)

// Collector is the address of a syslog collector.
type Collector struct {
	Network string // udp, tcp or tls
	Address string // host:port
}

// ParseCollector parses the URL of a collector, such as tls://logs.example:6514. The default port is the transport's:
// 514 for UDP (RFC 5426), 601 for TCP (RFC 3195's, as common practice), 6514 for TLS (RFC 5425).
func ParseCollector(s string) (Collector, error) {
	u, err := url.Parse(s)
	if err != nil {
		return Collector{}, errors.New("not of the form udp://host:port, tcp://host:port or tls://host:port")
	}
	port := map[string]string{"udp": "514", "tcp": "601", "tls": "6514"}[u.Scheme]
	switch {
	case port == "" || u.Host == "" || u.User != nil || u.Path != "" || u.RawQuery != "" || u.Fragment != "":
		return Collector{}, fmt.Errorf("%q is not of the form udp://host:port, tcp://host:port or tls://host:port", s)
	case u.Port() != "":
		port = u.Port()
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return Collector{}, fmt.Errorf("%q: port %s does not fit", s, port)
	}
	return Collector{u.Scheme, net.JoinHostPort(u.Hostname(), port)}, nil
}

// Loopback reports whether the address is a loopback IP address. Host names are not resolved, so they are not loopback.
func (c Collector) Loopback() bool {
	host, _, _ := net.SplitHostPort(c.Address)
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (c Collector) String() string { return c.Network + "://" + c.Address }
