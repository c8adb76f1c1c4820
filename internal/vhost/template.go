package vhost

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"milletmast/internal/route"
)

// captureGroups are the capture groups of the regular expressions that matched a request: by number those of the last one, by name those
// of all.
type captureGroups struct {
	numbered []string
	named    map[string]string
}

// capture returns the captures after a match, with the named ones from before.
func capture(re *regexp.Regexp, m []string, before *captureGroups) *captureGroups {
	c := &captureGroups{numbered: m}
	if before != nil {
		c.named = before.named
	}
	copied := false
	for i, name := range re.SubexpNames() {
		if name == "" {
			continue
		}
		if !copied {
			named := make(map[string]string, len(c.named)+1)
			for k, v := range c.named {
				named[k] = v
			}
			c.named, copied = named, true
		}
		c.named[name] = m[i]
	}
	return c
}

// template is a text with placeholders: {path}, {raw} (path and query of the request), {query}, {?query} (with a question mark, if there is
// one), {host}, {method}, {scheme}, {caller}, {header:NAME}, {forwarded} (X-Forwarded-For with the caller appended), and {1} to {9} and
// names for captures. {{ stands for {.
type template []templatePart

// templatePart is a literal text or a placeholder.
type templatePart struct {
	text        string
	value       func(*decision) string // returns the value of a placeholder; nil for a text
	needsEscape bool                   // whether the value may contain any byte, and has to be escaped in a URL
}

// fixedPlaceholders are the placeholders with fixed names.
var fixedPlaceholders = map[string]func(*decision) string{
	"path":   func(w *decision) string { return route.EscapePath(w.path) },
	"raw":    func(w *decision) string { return w.Raw },
	"query":  func(w *decision) string { return w.query },
	"host":   func(w *decision) string { return w.Host },
	"method": func(w *decision) string { return w.Method },
	"scheme": func(w *decision) string { return w.Scheme },
	"caller": func(w *decision) string { return w.Caller },
	"?query": func(w *decision) string {
		if w.query == "" {
			return ""
		}
		return "?" + w.query
	},
	"forwarded": func(w *decision) string {
		if forwarded := w.Header("X-Forwarded-For"); forwarded != "" {
			return forwarded + ", " + w.Caller
		}
		return w.Caller
	},
}

// captureName matches the names of captures.
var captureName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

// parseTemplate parses a template.
func parseTemplate(text string) (template, error) {
	if strings.ContainsAny(text, "\r\n\x00") {
		return nil, errors.New("line breaks and NUL bytes are not allowed")
	}
	var t template
	for text != "" {
		plain, rest, ok := strings.Cut(text, "{")
		if plain != "" {
			t = append(t, templatePart{text: plain})
		}
		if !ok {
			break
		}
		if strings.HasPrefix(rest, "{") {
			t, text = append(t, templatePart{text: "{"}), rest[1:]
			continue
		}
		name, after, ok := strings.Cut(rest, "}")
		if !ok {
			return nil, errors.New("a placeholder is not closed")
		}
		value, needsEscape, err := placeholder(name)
		if err != nil {
			return nil, err
		}
		t, text = append(t, templatePart{value: value, needsEscape: needsEscape}), after
	}
	return t, nil
}

// placeholder returns the function for the value of a placeholder, and whether the value has to be escaped in a URL.
func placeholder(name string) (value func(*decision) string, needsEscape bool, err error) {
	if value := fixedPlaceholders[name]; value != nil {
		return value, name == "forwarded", nil
	}
	if n, err := strconv.Atoi(name); err == nil && n >= 0 && n <= 9 {
		return func(w *decision) string {
			if w.captures == nil || n >= len(w.captures.numbered) {
				return ""
			}
			return w.captures.numbered[n]
		}, true, nil
	}
	if header, ok := strings.CutPrefix(name, "header:"); ok && header != "" && !strings.ContainsAny(header, " \t:") {
		return func(w *decision) string { return w.Header(header) }, true, nil
	}
	if captureName.MatchString(name) {
		return func(w *decision) string {
			if w.captures == nil {
				return ""
			}
			return w.captures.named[name]
		}, true, nil
	}
	return nil, false, fmt.Errorf("{%s} is no placeholder", name)
}

// expand returns the text with the values of its placeholders.
func (t template) expand(w *decision) string {
	return t.expandWith(w, func(s string) string { return s })
}

// expandURL returns the text with the values of its placeholders escaped for a URL.
func (t template) expandURL(w *decision) string { return t.expandWith(w, route.EscapePath) }

// expandWith returns the text with the values of its placeholders. escape is applied to those that may contain any byte.
func (t template) expandWith(w *decision, escape func(string) string) string {
	if len(t) == 1 && t[0].value == nil {
		return t[0].text
	}
	var out strings.Builder
	for _, p := range t {
		switch {
		case p.value == nil:
			out.WriteString(p.text)
		case p.needsEscape:
			out.WriteString(escape(p.value(w)))
		default:
			out.WriteString(p.value(w))
		}
	}
	return out.String()
}
