package eventlog

import (
	"fmt"
	"testing"
	"time"
)

func TestRecorderKeepsTheLastEvents(t *testing.T) {
	r := New(5)
	for i := range 12 {
		r.Add(Event{At: time.Unix(int64(i), 0), RequestID: fmt.Sprint(i % 2), Detail: fmt.Sprint(i)})
		got := ""
		for _, e := range r.ForRequest("0") {
			got += e.Detail + " "
		}
		want := ""
		for k := max(0, i-4); k <= i; k++ {
			if k%2 == 0 {
				want += fmt.Sprint(k) + " "
			}
		}
		if got != want {
			t.Fatalf("events of request 0 after event %d: %q, want %q", i, got, want)
		}
	}
	if len(r.ForRequest("none")) > 0 {
		t.Fatal("events of a request that was never recorded")
	}
}
