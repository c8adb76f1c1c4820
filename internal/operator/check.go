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

// maxCopies bounds the copies of a pool or of a fleet.
const maxCopies = 10_000

// maxWeight bounds weights and the worth that a listener's callers may claim.
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

	protocols map[string]string // of pools, by name
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

// checkRange reports a value that is not between two bounds, which are both allowed, and NaN.
func checkRange[T cmp.Ordered](d *document, field string, value, low, high T) {
	if value < low || value > high || value != value { // the last is NaN
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
		d.reportf(field, "%v is an impossible time: from %v to %v is possible", value, low, high)
	}
}

// checkCount reports a list that is too long, and says whether it is.
func (d *document) checkCount(field string, count, limit int) (tooMany bool) {
	if count > limit {
		d.reportf(field, "%d of them, over the %d allowed", count, limit)
	}
	return count > limit
}

// checkUniqueName checks the name of the table at path, which must be the only one of its kind. Seen holds the paths by name.
func (d *document) checkUniqueName(path, name string, seen map[string]string) {
	field := join(path, "name")
	if !namePattern.MatchString(name) {
		d.reportf(field, "%q is no name: letters, digits and . _ : - are allowed, 64 at most", name)
		return
	}
	if first, ok := seen[name]; ok {
		d.reportf(field, "%q names %s already", name, first)
		return
	}
	seen[name] = path
}

// checkHostPort checks an address whose port may have a name.
func (d *document) checkHostPort(field, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		d.reportf(field, "%q is no address: write it as host:port", address)
	}
}

// validateAddress checks a host and a numeric port. An address to listen at may leave out the host, and its port may be 0.
func validateAddress(address string, listen bool) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is no address: write one as \"127.0.0.1:8080\"", address)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 && !listen {
		return fmt.Errorf("%q is no address: %q is no port", address, port)
	}
	if host == "" && !listen {
		return fmt.Errorf("%q is no address: it names no host", address)
	}
	return nil
}
