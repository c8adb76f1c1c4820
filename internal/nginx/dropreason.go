package nginx

import (
	"strings"
)

// dropReason says why a directive is dropped, and what to do.
func dropReason(name string) string {
	switch {
	case strings.HasPrefix(name, "limit_req"), strings.HasPrefix(name, "limit_conn"):
		return "limits by key have no counterpart: set quotas of tenants, or weigh classes by their worth"
	case strings.HasPrefix(name, "ssl_"):
		return "TLS has no settings but certificate and key"
	case strings.Contains(name, "lua"), strings.HasPrefix(name, "perl"), strings.HasPrefix(name, "js_"):
		return "code is not run: move it to a server of a pool"
	case name == "root", name == "alias", name == "index", name == "try_files", name == "autoindex", name == "expires":
		return "files are not served: put a file server into a pool and send these paths there"
	case name == "add_header", name == "proxy_redirect", strings.HasPrefix(name, "proxy_hide_"),
		strings.HasPrefix(name, "proxy_pass_header"), strings.HasPrefix(name, "proxy_cookie_"):
		return "headers of answers are passed on as servers give them"
	case name == "if":
		return "conditions are not decided on: use routes with methods, headers or query"
	case strings.HasPrefix(name, "auth_"), name == "allow", name == "deny", name == "satisfy":
		return "ACCESS IS NOT CHECKED: keep it at a server in front, or these paths are open"
	case strings.HasPrefix(name, "proxy_cache"), strings.HasPrefix(name, "proxy_buffer"),
		name == "proxy_max_temp_file_size", name == "proxy_request_buffering":
		return "answers are neither cached nor spooled: long ones stream"
	case strings.HasSuffix(name, "_log"), name == "log_format":
		return "logging is the program's own"
	case name == "events", name == "user", name == "pid", strings.HasPrefix(name, "worker_"):
		return "the process is set up by [limits] and its supervisor"
	case name == "proxy_http_version":
		return "servers are always spoken to in HTTP/1.1"
	case name == "proxy_send_timeout", name == "send_timeout", name == "client_body_timeout", name == "client_header_timeout",
		name == "keepalive_timeout":
		return "the program bounds these times by itself"
	}
	return "it has no counterpart"
}
