package route

import "strings"

// Rewritten returns the path that a server gets for a request that matched this rule of a table.
func (r *Rule) Rewritten(p *Path) string {
	if !r.Rewrite.Strip {
		return p.Raw
	}
	rest := p.Raw
	for range r.depth { // the prefix is removed by segments, as these may have parameters
		if i := strings.IndexByte(rest[1:], '/'); i >= 0 {
			rest = rest[1+i:]
		} else {
			rest = ""
			break
		}
	}
	replacement := r.Rewrite.Replace
	switch {
	case replacement == "" || replacement == "/":
		if rest == "" {
			return "/"
		}
		return rest
	case rest == "":
		return replacement
	default:
		return strings.TrimSuffix(replacement, "/") + rest
	}
}

// Redirect returns the Location of a fixed answer for a request, or "" for an answer that is not a redirect.
func (a *Answer) Redirect(r *Request) string {
	if strings.IndexByte(a.Location, '{') < 0 {
		return a.Location
	}
	query := ""
	if r.Query != "" {
		query = "?" + r.Query
	}
	return strings.NewReplacer("{host}", r.Host, "{path}", r.Path.Raw, "{query}", query).Replace(a.Location)
}
