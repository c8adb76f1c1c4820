package nginx

import (
	"strings"
)

// dropReason returns why a directive is dropped, and what to do instead.
func dropReason(name string) string {
	switch {
	case strings.HasPrefix(name, "limit_req"), strings.HasPrefix(name, "limit_conn"):
		return "limits by key have no counterpart: set quotas for tenants, or a worth for each class"
	case strings.HasPrefix(name, "ssl_"):
		return "TLS has no settings other than certificate and key"
	case strings.Contains(name, "lua"), strings.HasPrefix(name, "perl"), strings.HasPrefix(name, "js_"):
		return "scripts are not run: move the code to a server of a pool"
	case name == "root", name == "alias", name == "index", name == "try_files", name == "autoindex", name == "expires":
		return "files are not served: put a file server into a pool and send these paths there"
	case name == "add_header", name == "proxy_redirect", strings.HasPrefix(name, "proxy_hide_"),
		strings.HasPrefix(name, "proxy_pass_header"), strings.HasPrefix(name, "proxy_cookie_"):
		return "response headers are passed on unchanged"
	case name == "if":
		return "conditions are not evaluated: use routes with methods, headers or query"
	case strings.HasPrefix(name, "auth_"), name == "allow", name == "deny", name == "satisfy":
		return "ACCESS IS NOT CHECKED: check it at a server in front, or these paths are open to everyone"
	case strings.HasPrefix(name, "proxy_cache"), strings.HasPrefix(name, "proxy_buffer"),
		name == "proxy_max_temp_file_size", name == "proxy_request_buffering":
		return "responses are neither cached nor buffered on disk: long ones are streamed"
	case strings.HasSuffix(name, "_log"), name == "log_format":
		return "logging is built in and cannot be set here"
	case name == "events", name == "user", name == "pid", strings.HasPrefix(name, "worker_"):
		return "the process is configured by [limits] and its supervisor"
	case name == "proxy_http_version":
		return "requests to servers always use HTTP/1.1"
	case name == "proxy_send_timeout", name == "send_timeout", name == "client_body_timeout", name == "client_header_timeout",
		name == "keepalive_timeout":
		return "these timeouts are built in"
	}
	return "it has no counterpart"
}
