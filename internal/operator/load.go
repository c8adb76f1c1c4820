package operator

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"milletmast/internal/route"
	"milletmast/internal/vhost"
)

// MaxFile is the size of the largest file that is read, in bytes.
const MaxFile = 8 << 20

// Config is a file that has been checked, with its routes compiled. It does not change after it has been loaded.
type Config struct {
	File
	Path         string
	Text         []byte                      // as read from the file
	Hash         string                      // SHA-256 of the text, the certificates and the server files, in hex
	HTTPRoutes   map[string]*route.Table     // of HTTP/1.1 requests, by listener
	GRPCRoutes   map[string]*route.Table     // of gRPC calls, by listener
	SiteTables   map[string]*vhost.Table     // of requests that no route matches, by listener; nil for a listener without sites
	Certificates map[string]*tls.Certificate // by listener; none without TLS
	FileServers  map[string][]Server         // servers in the server files when the file was loaded, by pool
}

// Listener returns the listener with this name if it accepts a protocol, HTTP or GRPC. Without a name it returns the first one that
// accepts the protocol.
func (c *Config) Listener(name, protocol string) *Listener {
	for i := range c.Listeners {
		if l := &c.Listeners[i]; (name == "" || l.Name == name) && l.accepts(protocol) {
			return l
		}
	}
	return nil
}

// Load reads and checks a file. The error is Errors if the file could be read at all.
func Load(path string) (*Config, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse checks the text of a file. path is used in errors, and its folder is where relative paths in the file start.
func Parse(path string, text []byte) (*Config, error) {
	d := &document{name: path}
	cfg := &Config{
		Path:         path,
		Text:         text,
		HTTPRoutes:   map[string]*route.Table{},
		GRPCRoutes:   map[string]*route.Table{},
		SiteTables:   map[string]*vhost.Table{},
		Certificates: map[string]*tls.Certificate{},
		FileServers:  map[string][]Server{},
	}
	if !d.decode(text, &cfg.File) {
		return nil, d.errs
	}
	sum := sha256.New()
	sum.Write(text)
	c := checker{document: d, cfg: cfg, folder: filepath.Dir(path), sum: sum}
	c.check()
	if err := d.err(); err != nil {
		return nil, err
	}
	cfg.Hash = hex.EncodeToString(sum.Sum(nil))
	return cfg, nil
}

// TextHash returns the SHA-256 of the text of a file alone, in hex: the same on every host, whatever the server files contain.
func TextHash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// ReadFile reads a regular file of at most MaxFile.
func ReadFile(path string) ([]byte, error) {
	if info, err := os.Stat(path); err != nil {
		return nil, err
	} else if !info.Mode().IsRegular() { // reading a pipe could block, and a device may have no end
		return nil, fmt.Errorf("%s: not a regular file", path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(text) > MaxFile {
		return nil, fmt.Errorf("%s: the file is over %d MiB", path, MaxFile>>20)
	}
	return text, nil
}

// ServerFile is the content of a file of servers.
type ServerFile struct {
	Servers []Server `toml:"server"`
}

// LoadServers reads and checks a file of servers.
func LoadServers(path string, zones []string) ([]Server, error) {
	servers, _, err := readServers(path, zones)
	return servers, err
}

// readServers reads and checks a file of servers. It returns the servers and the text of the file.
func readServers(path string, zones []string) ([]Server, []byte, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	servers, err := ParseServers(path, text, zones)
	return servers, text, err
}

// ParseServers checks the text of a file of servers.
func ParseServers(path string, text []byte, zones []string) ([]Server, error) {
	d := &document{name: path}
	var f ServerFile
	if !d.decode(text, &f) {
		return nil, d.errs
	}
	d.checkServers("server", f.Servers, zones)
	return f.Servers, d.err()
}

// ResolvePath joins a relative path to a folder. An empty path stays empty.
func ResolvePath(folder string, path *string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(folder, *path)
	}
}
