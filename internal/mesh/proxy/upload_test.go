package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletmast/internal/fakeserver"
	"milletmast/internal/rules"
)

// Guards against review/4 (TWICE): an upload whose endpoint begins before it has the whole body, and then resets the connection, was sent
// to an endpoint again. It may have run, so it runs once, and its client gets no promise that it has not.
func TestUploadIsNotSentAgainAfterReset(t *testing.T) {
	const uploads = 6
	m := newMesh(t)
	recorder := &rules.Answers{}
	m.misbehaving = func(string) *fakeserver.MisbehavingServer {
		return &fakeserver.MisbehavingServer{Answers: recorder, Choose: func(int) fakeserver.Misbehavior {
			return fakeserver.Misbehavior{CutInRequest: 1000, BeginsEarly: true, CloseMode: fakeserver.CloseByReset, CutInResponse: -1}
		}}
	}
	from := m.start("from", "127.0.8.1", "two")
	all := []*endpoint{m.start("a", "127.0.8.2", "one"), m.start("b", "127.0.8.3", "one")}
	m.callUntilOK("POST", "http://"+m.settings("core", coreIP).Control+"/api/Config.Replace", testConfig)
	for _, e := range append(all, from) {
		e.sendHeartbeat("serving")
	}
	m.callUntilOK("GET", "http://"+from.s.Readiness+"/api/readiness", "")
	body := strings.Repeat("upload", 2<<20)
	lost := 0
	for n, end := 0, time.Now().Add(20*time.Second); lost < uploads && time.Now().Before(end); n++ {
		id := fmt.Sprint("upload-", n)
		recorder.RecordRequest(id, true)
		response, _ := from.send("POST", "/pay/", id, body, nil)
		recorder.RecordResponse(id, rules.Response{Status: response.StatusCode})
		if response.StatusCode == http.StatusBadGateway {
			lost++
		} else if response.StatusCode != http.StatusServiceUnavailable { // as long as no endpoint is known, or all are avoided
			t.Errorf("%s: %s, want 502", id, response.Status)
		}
	}
	if lost < uploads {
		t.Errorf("%d uploads were lost by their endpoint, want %d", lost, uploads)
	}
	if violations, count := recorder.Violations(); count > 0 {
		t.Error(violations)
	}
}
