package route

import "strings"

// Rewritten gives the path that goes to the server of a request that matched this rule of a table.
func (r *Rule) Rewritten(p *Path) string {
	if !r.Rewrite.Strip {
		return p.Raw
	}
	rest := p.Raw
	for range r.depth { // segments keep their parameters: they are counted
		if i := strings.IndexByte(rest[1:], '/'); i >= 0 {
			rest = rest[1+i:]
		} else {
			rest = ""
			break
		}
	}
	switch to := r.Rewrite.Replace; {
	case to == "" || to == "/":
		if rest == "" {
			return "/"
		}
		return rest
	case rest == "":
		return to
	default:
		return strings.TrimSuffix(to, "/") + rest
	}
}

// Redirect gives the Location of a fixed answer for a request; "" if it redirects nowhere.
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
