package meshconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"math/big"
	"regexp"
	"strings"
)

// oracle validates a configuration a second time, from the page on the protocol alone, with exact arithmetic. It shares
// nothing with Parse.
type oracle struct {
	services map[string]bool
	places   map[string]bool // authority and prefix of the routes
}

var (
	oracleVersion  = regexp.MustCompile(`^r[0-9]+$`)
	oracleExponent = regexp.MustCompile(`[eE][+-]?0*([0-9]*)$`)
)

// oracleValid reports whether a configuration is valid.
func oracleValid(text []byte) bool {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var document map[string]any
	if decoder.Decode(&document) != nil || document == nil {
		return false
	}
	if _, err := decoder.Token(); err != io.EOF {
		return false
	}
	version, ok := document["epoch"].(string)
	if !ok || !oracleVersion.MatchString(version) || !fitsVersion(version[1:]) {
		return false
	}
	o := &oracle{services: map[string]bool{}, places: map[string]bool{}}
	return o.limits(document["limits"]) && o.eachRow(document["services"], o.service) && o.eachRow(document["routes"], o.route)
}

func fitsVersion(digits string) bool {
	n, _ := new(big.Int).SetString(digits, 10)
	return n.IsInt64()
}

// number returns a figure that may be left out, as 0; it has to be a number from 0.
func (*oracle) number(value any) (n *big.Rat, ok bool) {
	if value == nil {
		return new(big.Rat), true
	}
	text, ok := value.(json.Number)
	if !ok || len(text) > 1000 {
		return nil, false
	}
	if e := oracleExponent.FindStringSubmatch(string(text)); e != nil && (len(e[1]) > 4 || len(e[1]) == 4 && e[1] > "1000") {
		return nil, false
	}
	if n, ok = new(big.Rat).SetString(string(text)); !ok || n.Sign() < 0 {
		return nil, false
	}
	return n, true
}

func (o *oracle) allNumbers(record map[string]any, fields ...string) bool {
	for _, field := range fields {
		if _, ok := o.number(record[field]); !ok {
			return false
		}
	}
	return true
}

// text returns a string that may be left out, as an empty one.
func (*oracle) text(value any) (string, bool) {
	if value == nil {
		return "", true
	}
	s, ok := value.(string)
	return s, ok
}

func (o *oracle) limits(value any) bool {
	if value == nil {
		return true
	}
	record, ok := value.(map[string]any)
	return ok && o.allNumbers(record, "max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s")
}

// eachRow calls valid for each record of a table.
func (o *oracle) eachRow(value any, valid func(map[string]any) bool) bool {
	table, ok := value.(map[string]any)
	if !ok {
		return false
	}
	attributes, _ := table["attributes"].([]any)
	tuples, _ := table["tuples"].([]any)
	names := map[string]bool{}
	for _, attribute := range attributes {
		name, ok := attribute.(string)
		if !ok || names[name] {
			return false
		}
		names[name] = true
	}
	for _, tuple := range tuples {
		values, ok := tuple.([]any)
		if !ok || len(values) != len(attributes) {
			return false
		}
		record := map[string]any{}
		for i, attribute := range attributes {
			record[attribute.(string)] = values[i]
		}
		if !valid(record) {
			return false
		}
	}
	return true
}

func (o *oracle) service(record map[string]any) bool {
	name, ok := o.text(record["name"])
	_, probeOK := o.text(record["probe_path"])
	if !ok || !probeOK || name == "" || o.services[name] {
		return false
	}
	o.services[name] = true
	return o.allNumbers(record, "max_conns", "warmup_s", "warmup_per_s")
}

func (o *oracle) route(record map[string]any) bool {
	texts := map[string]string{}
	for _, field := range []string{"name", "authority", "path_prefix", "route_class", "target"} {
		text, ok := o.text(record[field])
		if !ok {
			return false
		}
		texts[field] = text
	}
	if !o.allNumbers(record, "deadline_s", "target_latency_s", "priority", "max_tries") || !o.latency(record) {
		return false
	}
	switch texts["route_class"] {
	case "safe", "mutating", "ingest":
	default:
		return false
	}
	prefix := texts["path_prefix"]
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		return false
	}
	host, _, _ := strings.Cut(strings.TrimSpace(texts["authority"]), ":")
	place := strings.ToLower(texts["authority"]) + prefix
	if host == "" || o.places[place] {
		return false
	}
	o.places[place] = true
	return o.targets(record["weighted_targets"], texts["target"])
}

// latency reports whether the target latency is less than a minute above the deadline, if the route has both.
func (o *oracle) latency(record map[string]any) bool {
	if record["deadline_s"] == nil || record["target_latency_s"] == nil {
		return true
	}
	deadline, _ := o.number(record["deadline_s"])
	latency, _ := o.number(record["target_latency_s"])
	return new(big.Rat).Sub(latency, deadline).Cmp(big.NewRat(60, 1)) < 0
}

// targets reports whether all services that a route names are known, and the weights do not sum to 0.
func (o *oracle) targets(value any, single string) bool {
	if single != "" && !o.services[single] {
		return false
	}
	list, ok := value.([]any)
	if value != nil && !ok {
		return false
	}
	if len(list) == 0 {
		return single != ""
	}
	sum := new(big.Rat)
	for _, entry := range list {
		target, ok := entry.(map[string]any)
		if !ok {
			return false
		}
		name, ok := o.text(target["target"])
		weight, weightOK := o.number(target["weight"])
		if !ok || !weightOK || !o.services[name] {
			return false
		}
		sum.Add(sum, weight)
	}
	return sum.Sign() > 0
}
