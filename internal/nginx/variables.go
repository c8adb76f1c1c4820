package nginx

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"strings"

	"milletmast/internal/vhost"
)

// scope holds the values by which variables can be replaced when the configuration is imported.
type scope struct {
	constants   map[string]string     // values of set directives, and those derived from an address or a name
	maps        map[string]*Directive // by the name of the variable that the map sets
	captures    map[string]bool       // names of the captures of expressions
	hasNumbered bool                  // an expression has numbered captures
	lookups     *int                  // map lookups for one text so far
}

func (s scope) clone() scope {
	s.constants, s.captures = maps.Clone(s.constants), maps.Clone(s.captures)
	return s
}

// placeholders maps variables of nginx to placeholders in the templates of sites.
var placeholders = map[string]string{
	"uri": "{path}", "document_uri": "{path}", "request_uri": "{raw}", "args": "{query}", "query_string": "{query}", "host": "{host}",
	"remote_addr": "{caller}", "scheme": "{scheme}", "request_method": "{method}", "proxy_add_x_forwarded_for": "{forwarded}",
	"http_host": "{header:Host}", "content_type": "{header:Content-Type}",
}

// resolve converts a text with variables to a template with placeholders. The error names the variable that has no placeholder.
func (s scope) resolve(text string) (string, error) {
	if s.lookups == nil {
		s.lookups = new(int)
	}
	var out strings.Builder
	for text != "" {
		plain, rest, found := strings.Cut(text, "$")
		out.WriteString(strings.ReplaceAll(plain, "{", "{{"))
		if !found {
			break
		}
		name, after, err := cutVariable(rest)
		if err != nil {
			return "", err
		}
		if name == "is_args" {
			next, behind, err := cutVariable(strings.TrimPrefix(after, "$"))
			if err != nil || !strings.HasPrefix(after, "$") || next != "args" && next != "query_string" {
				return "", fmt.Errorf("$is_args without $args after it has no counterpart")
			}
			out.WriteString("{?query}")
			text = behind
			continue
		}
		value, err := s.resolveVariable(name)
		if err != nil {
			return "", err
		}
		out.WriteString(value)
		text = after
	}
	return out.String(), nil
}

// cutVariable splits the text after a dollar sign into the name of the variable and the rest.
func cutVariable(text string) (name, rest string, err error) {
	if after, ok := strings.CutPrefix(text, "{"); ok {
		if name, rest, ok = strings.Cut(after, "}"); !ok || name == "" {
			return "", "", fmt.Errorf("${ is not closed")
		}
		return name, rest, nil
	}
	n := 0
	for n < len(text) && isNameByte(text[n]) {
		if n++; n == 1 && text[0] >= '1' && text[0] <= '9' {
			break // captures have one digit
		}
	}
	if n == 0 {
		return "", "", fmt.Errorf("a $ has no variable name after it")
	}
	return text[:n], text[n:], nil
}

func isNameByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// maxLookups bounds the map lookups for one text, because maps may refer to other maps or to themselves.
const maxLookups = 64

// resolveVariable returns the template of a variable.
func (s scope) resolveVariable(name string) (string, error) {
	if value, ok := s.constants[name]; ok {
		return strings.ReplaceAll(value, "{", "{{"), nil
	}
	if p := placeholders[name]; p != "" {
		return p, nil
	}
	switch {
	case len(name) == 1 && name[0] >= '1' && name[0] <= '9':
		if !s.hasNumbered {
			return "", fmt.Errorf("$%s: no expression captures it", name)
		}
		return "{" + name + "}", nil
	case s.captures[name]:
		return "{" + name + "}", nil
	case strings.HasPrefix(name, "http_") && len(name) > 5:
		return "{header:" + http.CanonicalHeaderKey(strings.ReplaceAll(name[5:], "_", "-")) + "}", nil
	}
	if d := s.maps[name]; d != nil {
		if *s.lookups++; *s.lookups > maxLookups {
			return "", fmt.Errorf("$%s: one text needs more than %d map lookups", name, maxLookups)
		}
		return s.lookUpMap(d)
	}
	return "", fmt.Errorf("$%s depends on the request and has no placeholder", name)
}

// lookUpMap returns the value of a map whose source is constant.
func (s scope) lookUpMap(d *Directive) (string, error) {
	source, err := s.resolve(d.Args[0].Text)
	if err != nil {
		return "", err
	}
	if !isConstant(source) {
		return "", fmt.Errorf("$%s: the source of the map depends on the request", strings.TrimPrefix(d.Args[1].Text, "$"))
	}
	source = constantText(source)
	result := ""
	for _, line := range d.Body {
		if len(line.Args) != 1 {
			continue
		}
		if line.Name == "default" {
			result = line.Args[0].Text
		}
		if strings.HasPrefix(line.Name, "~") || strings.Contains(line.Name, "*") {
			return "", fmt.Errorf("$%s: maps with expressions or wildcards are not supported", strings.TrimPrefix(d.Args[1].Text, "$"))
		}
	}
	for _, line := range d.Body {
		if len(line.Args) == 1 && strings.EqualFold(strings.TrimPrefix(line.Name, `\`), source) {
			result = line.Args[0].Text
		}
	}
	return s.resolve(result)
}

// compileExpression compiles an expression within the limits of package vhost.
func compileExpression(text string) (*regexp.Regexp, error) {
	if len(text) > vhost.MaxPatternBytes {
		return nil, fmt.Errorf("it has %d bytes, over the %d allowed", len(text), vhost.MaxPatternBytes)
	}
	return regexp.Compile(text)
}

// addCaptures adds the captures of an expression.
func (s *scope) addCaptures(re *regexp.Regexp) {
	s.hasNumbered = s.hasNumbered || re.NumSubexp() > 0
	for _, name := range re.SubexpNames() {
		if name != "" {
			s.captures[name] = true
		}
	}
}
