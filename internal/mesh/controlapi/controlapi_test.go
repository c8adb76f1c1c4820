package controlapi

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/internal/mesh/registry"
)

const validHeartbeat = `{"target":"one","address":"10.0.0.9:8080","zone":"north","epoch":"v1","capacity":9,"state":"draining","warmup_left_s":1.5,"call_seq":4,"later":1}`

func TestDecode(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		want               Command
		status             int
	}{
		{"GET", "/api/readiness", "", Readiness{}, 0},
		{"POST", "/api/Endpoints.Heartbeat/i-1", validHeartbeat, Heartbeat{
			Endpoint: registry.Endpoint{ID: "i-1", Target: "one", State: registry.Draining, Capacity: 9, WarmupLeft: 1500 * time.Millisecond},
			Address:  "10.0.0.9:8080", Zone: "north", Epoch: "v1", Sequence: 4,
		}, 0},
		{"POST", "/api/Endpoints.Deregister/i-1", "{}", Deregister{"i-1"}, 0},
		{"POST", "/api/Config.Replace", "x", ReplaceConfig{[]byte("x")}, 0},
		{"GET", "/api/Config.Read", "", ReadConfig{}, 0},
		{"POST", "/api/Evacuation.Begin/north", "", BeginEvacuation{"north", ""}, 0},
		{"POST", "/api/Evacuation.Finish/north", "", FinishEvacuation{"north", ""}, 0},
		{"POST", "/api/Evacuation.Finish/north/a1", "", FinishEvacuation{"north", "a1"}, 0},
		{"POST", "/api/Evacuation.Begin/north/a1/b", "", nil, http.StatusBadRequest},
		{"GET", "/api/Evacuation.Finish/north", "", nil, http.StatusMethodNotAllowed},
		{"POST", "/api/Evacuation.Begin/", "", nil, http.StatusBadRequest},
		{"POST", "/api/Endpoints.Heartbeat/i-1", validHeartbeat[:40], nil, http.StatusBadRequest},
		{"POST", "/api/Endpoints.Heartbeat/i-1", strings.Replace(validHeartbeat, "draining", "dancing", 1), nil, http.StatusBadRequest},
		{"POST", "/api/Nothing", "", nil, http.StatusNotFound},
		{"GET", "/", "", nil, http.StatusNotFound},
	} {
		got, status, err := Decode(c.method, c.path, []byte(c.body))
		if !reflect.DeepEqual(got, c.want) || status != c.status || (err == nil) != (c.want != nil) {
			t.Errorf("%s %s: got %+v, status %d and error %v, want %+v and status %d", c.method, c.path, got, status, err, c.want, c.status)
		}
	}
}

// The first result of a command is the response and later ones are ignored; a body above the limit is rejected and runs no command.
// warmupLeft decodes a heartbeat with a number as the remaining warm-up time.
func warmupLeft(number string) (left time.Duration, status int) {
	body := strings.Replace(validHeartbeat, "1.5", number, 1)
	command, status, err := Decode(http.MethodPost, "/api/Endpoints.Heartbeat/i-1", []byte(body))
	if err != nil {
		return 0, status
	}
	return command.(Heartbeat).Endpoint.WarmupLeft, 0
}

// A remaining warm-up time is exactly what the heartbeat says, to the nanosecond.
func TestWarmupLeftIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := time.Duration(rapid.Int64Range(0, 999_999_999_999_999).Draw(t, "ns"))
		text := fmt.Sprintf("%d.%09d", want/time.Second, want%time.Second)
		if got, status := warmupLeft(text); got != want || status != 0 {
			t.Fatalf("%s s is %v with status %d, want %v", text, got, status, want)
		}
	})
}

func TestWarmupLeftBounds(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"67.112": 67_112 * time.Millisecond, "0": 0, "-0": 0, "-1": 0, "-1e300": 0, "1e-300": 0, "1e6": 1e6 * time.Second,
		"1e300": 1e6 * time.Second,
	} {
		if got, status := warmupLeft(text); got != want || status != 0 {
			t.Errorf("%s s is %v with status %d, want %v", text, got, status, want)
		}
	}
	for _, text := range []string{"", "NaN", "Infinity", "0x1p-2", "1_000", "007.5", "1e400", `"1.5"`} {
		if got, status := warmupLeft(text); status != http.StatusBadRequest {
			t.Errorf("%q is %v with status %d, want status 400", text, got, status)
		}
	}
}

func TestResults(t *testing.T) {
	runs := 0
	h := NewHandler(func(c Command, finish func(Result)) {
		runs++
		finish(Result{Status: http.StatusTeapot, Body: []byte("{}"), JSON: true})
		finish(Result{Status: http.StatusOK})
	})
	call := func(path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("POST", path, strings.NewReader(body)))
		return w
	}
	if w := call("/api/Evacuation.Begin/north", ""); w.Code != http.StatusTeapot || w.Body.String() != "{}" || w.Header().Get("Content-Type") != "application/json" {
		t.Errorf("got status %d, body %q and header %v, want the first result", w.Code, w.Body, w.Header())
	}
	if w := call("/api/Endpoints.Heartbeat/i", strings.Repeat(" ", maxHeartbeatBytes+1)); w.Code != http.StatusBadRequest || runs != 1 {
		t.Errorf("a body above the limit: status %d after %d commands", w.Code, runs)
	}
}

// A call above the limit of concurrent calls is rejected with 503 and runs no command.
func TestConcurrencyLimit(t *testing.T) {
	held := make(chan func(Result), maxConcurrentCalls+1)
	h := NewHandler(func(_ Command, finish func(Result)) { held <- finish })
	done := make(chan int, maxConcurrentCalls)
	for range maxConcurrentCalls {
		go func() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest("GET", "/api/Config.Read", nil))
			done <- w.Code
		}()
	}
	var finishers []func(Result)
	for range maxConcurrentCalls {
		finishers = append(finishers, <-held)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/api/Config.Read", nil))
	if w.Code != http.StatusServiceUnavailable || len(held) != 0 {
		t.Errorf("a call above the limit: status %d", w.Code)
	}
	for _, finish := range finishers {
		finish(Result{Status: http.StatusOK})
	}
	for range maxConcurrentCalls {
		if code := <-done; code != http.StatusOK {
			t.Errorf("a call within the limit: status %d", code)
		}
	}
}
