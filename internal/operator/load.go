package operator

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"whinknot/internal/route"
	"whinknot/internal/vhost"
)

// MaxFile is the size of the largest file that is read.
const MaxFile = 8 << 20

// maxErrors bounds what is told of one file.
const maxErrors = 200

// Error is one thing that is wrong in a file.
type Error struct {
	File  string
	Line  int
	Field string // its path, as route[2].pool
	Err   error
}

func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
	}
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Field, e.Err)
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errors is all that is wrong in a file, in the order of its lines.
type Errors []*Error

func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Tell writes all that is wrong in a file, a line each, and gives an error that counts them. Any other error is given as it is.
func Tell(w io.Writer, path string, err error) error {
	var all Errors
	if errors.As(err, &all) {
		fmt.Fprintln(w, all)
		return fmt.Errorf("%s: errors: %d", path, len(all))
	}
	return err
}

// Config is a file that has been checked, with its routes compiled.
type Config struct {
	File
	Path         string
	Text         []byte                      // as it was read
	Hash         string                      // SHA-256 of the text and of the server files, in hex
	Tables       map[string]*route.Table     // of HTTP/1.1 requests, by listener
	Calls        map[string]*route.Table     // of gRPC calls, by listener
	Sites        map[string]*vhost.Table     // of requests that no route matches, by listener; nil where there are none
	Certificates map[string]*tls.Certificate // by listener; none without TLS
	Named        map[string][]Server         // what the server files held when the file was loaded, by pool
}

// Listener finds the listener of a name that takes gRPC calls or requests of HTTP/1.1; with no name the first that does.
func (c *Config) Listener(name string, calls bool) *Listener {
	protocol := HTTP
	if calls {
		protocol = GRPC
	}
	for i := range c.Listeners {
		if l := &c.Listeners[i]; (name == "" || l.Name == name) && l.carries(protocol) {
			return l
		}
	}
	return nil
}

// Load reads and checks a file. The error is Errors where the file could be read at all.
func Load(path string) (*Config, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// ReadFile reads a regular file of at most MaxFile.
func ReadFile(path string) ([]byte, error) {
	if info, err := os.Stat(path); err != nil {
		return nil, err
	} else if !info.Mode().IsRegular() { // a pipe could keep us waiting, a device never end
		return nil, fmt.Errorf("%s: is no regular file", path)
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

// Parse checks the text of a file; path is its name, for errors and for what it names relative to its folder.
func Parse(path string, text []byte) (*Config, error) {
	d := &document{name: path}
	cfg := &Config{Path: path, Text: text, Tables: map[string]*route.Table{}, Calls: map[string]*route.Table{}, Sites: map[string]*vhost.Table{},
		Certificates: map[string]*tls.Certificate{}, Named: map[string][]Server{}}
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

// TextHash is the SHA-256 of the text of a file alone, in hex: the same on every host, whatever its server files hold.
func TextHash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// ServerFile is the form of a file of servers.
type ServerFile struct {
	Servers []Server `toml:"server"`
}

// LoadServers reads and checks a file of servers.
func LoadServers(path string, zones []string) ([]Server, error) {
	servers, _, err := loadServers(path, zones)
	return servers, err
}

func loadServers(path string, zones []string) ([]Server, []byte, error) {
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
	d.servers("server", f.Servers, zones)
	return f.Servers, d.err()
}

// Decode reads another file of the program's as strictly: into a struct with toml tags, with all that is wrong told by line
// and field. Check goes over what was read and complains of fields by their path; it may be nil.
func Decode(path string, to any, check func(complain func(field, text string))) error {
	text, err := ReadFile(path)
	if err != nil {
		return err
	}
	return DecodeText(path, text, to, nil, check)
}

// DecodeText does so with a text that was read. Edit may change its tree before it is bound to the struct; it may be nil.
func DecodeText(name string, text []byte, to any, edit func(tree map[string]any) error, check func(complain func(field, text string))) error {
	d := &document{name: name, edit: edit}
	if d.decode(text, to) && check != nil {
		check(func(field, text string) { d.complain(field, errors.New(text)) })
	}
	return d.err()
}

// CheckRules checks a pool of another kind of file, which tells servers in its own way: all but its servers and their source.
func (p *Pool) CheckRules(path string, complain func(field, text string)) {
	d := &document{lines: &positions{}}
	c := checker{document: d, cfg: &Config{}}
	c.rules(path, p)
	for _, e := range d.errs {
		complain(e.Field, e.Err.Error())
	}
}

// Under makes a path relative to a folder one of its own; an empty one stays empty.
func Under(dir string, path *string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(dir, *path)
	}
}

// document collects what is wrong in one file.
type document struct {
	name  string
	edit  func(tree map[string]any) error // before it is bound; nil for nothing
	lines *positions
	errs  Errors
}

// decode reads the text into a struct and tells whether it is TOML at all.
func (d *document) decode(text []byte, to any) bool {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		line := 1
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ = at.Position()
		}
		d.errs = append(d.errs, &Error{File: d.name, Line: max(line, 1), Err: errors.New(strings.TrimPrefix(err.Error(), "toml: "))})
		return false
	}
	d.lines = locate(text)
	if d.edit != nil {
		if err := d.edit(tree); err != nil {
			d.errs = append(d.errs, &Error{File: d.name, Line: 1, Err: err})
			return false
		}
	}
	b := binder{complain: d.complain}
	b.table("", tree, reflect.ValueOf(to).Elem())
	return true
}

func (d *document) complain(path string, err error) {
	d.errs = append(d.errs, &Error{File: d.name, Line: d.lines.of(path), Field: path, Err: err})
}

func (d *document) complainf(path, format string, args ...any) {
	d.complain(path, fmt.Errorf(format, args...))
}

// err gives what was told, in the order of the lines; nil for nothing.
func (d *document) err() error {
	if len(d.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errs, func(a, b *Error) int { return a.Line - b.Line })
	if more := len(d.errs) - maxErrors; more > 0 {
		last := d.errs[maxErrors]
		d.errs = append(d.errs[:maxErrors], &Error{File: d.name, Line: last.Line, Err: fmt.Errorf("and %d more errors", more)})
	}
	return d.errs
}
