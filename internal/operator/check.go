package operator

import (
	"cmp"
	"fmt"
	"hash"
	"net"
	"regexp"
	"strconv"
	"time"
)

// maxTime bounds durations that have no closer bound of their own.
const maxTime = time.Hour

// maxCopies bounds the number of replicas of a pool or of a fleet.
const maxCopies = 10_000

// maxWeight bounds weights and the priority weight that a listener accepts from its clients.
const maxWeight = 1e6

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)
	metadataPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)
)

// checker checks a whole operator file and completes the configuration made from it.
type checker struct {
	*document
	cfg    *Config
	folder string    // relative paths in the file start here
	sum    hash.Hash // over the text of the file and of all files that it names

	protocols map[string]string // of each pool, by its name
}

func (c *checker) check() {
	f := &c.cfg.File
	if f.Name == "" {
		f.Name = "milletmast"
	}
	c.checkLimits(&f.Limits)
	c.checkContext(&f.Context)
	c.checkMembers(&f.Members)
	if f.State.Path != "" {
		ResolvePath(c.folder, &f.State.Path)
		c.checkDuration("state.every", f.State.Every, 100*time.Millisecond, time.Hour)
	}
	c.checkListeners()
	c.checkPools()
	c.checkRoutes()
	c.checkSites()
	c.checkConnectionShares()
}

// checkRange reports a value that is below low or above high, and NaN.
func checkRange[T cmp.Ordered](d *document, field string, value, low, high T) {
	if value < low || value > high || value != value { // only NaN differs from itself
		d.reportf(field, "%v is not within %s and %s", value, formatBound(low), formatBound(high))
	}
}

func formatBound(bound any) string {
	if number, ok := bound.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return fmt.Sprint(bound)
}

func (d *document) checkDuration(field string, value Duration, low, high time.Duration) {
	if time.Duration(value) < low || time.Duration(value) > high {
		d.reportf(field, "%v is out of range: must be from %v to %v", value, low, high)
	}
}

// checkCount reports a list with more than limit entries, and returns whether it has more.
func (d *document) checkCount(field string, count, limit int) (tooMany bool) {
	if count > limit {
		d.reportf(field, "%d entries, over the %d allowed", count, limit)
	}
	return count > limit
}

// checkUniqueName checks the name of the table at path, and that no earlier table of its kind has the same. seen maps each name to
// the path of its table.
func (d *document) checkUniqueName(path, name string, seen map[string]string) {
	field := join(path, "name")
	if !namePattern.MatchString(name) {
		d.reportf(field, "%q is not a valid name: use up to 64 letters, digits and . _ : -, the first a letter or digit", name)
		return
	}
	if first, ok := seen[name]; ok {
		d.reportf(field, "the name %q is already used by %s", name, first)
		return
	}
	seen[name] = path
}

// checkHostPort checks an address whose port may be a number or a service name.
func (d *document) checkHostPort(field, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		d.reportf(field, "%q is not an address: must be host:port", address)
	}
}

// validateAddress checks a host and a numeric port. A listen address may leave out the host, and its port may be 0.
func validateAddress(address string, listen bool) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is not an address: must be host:port, such as \"127.0.0.1:8080\"", address)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 && !listen {
		return fmt.Errorf("%q is not an address: %q is not a valid port", address, port)
	}
	if host == "" && !listen {
		return fmt.Errorf("%q is not an address: the host is missing", address)
	}
	return nil
}
