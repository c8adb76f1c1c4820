package story

import (
	"fmt"
	"testing"
	"time"
)

func TestTheLastEventsAreKeptInTheirOrder(t *testing.T) {
	r := New(5)
	for i := range 12 {
		r.Add(Event{At: time.Unix(int64(i), 0), ID: fmt.Sprint(i % 2), What: fmt.Sprint(i)})
		got := ""
		for _, e := range r.Of("0") {
			got += e.What + " "
		}
		want := ""
		for k := max(0, i-4); k <= i; k++ {
			if k%2 == 0 {
				want += fmt.Sprint(k) + " "
			}
		}
		if got != want {
			t.Fatalf("after %d: %q, want %q", i, got, want)
		}
	}
	if len(r.Of("none")) > 0 {
		t.Fatal("a story of a request that never was")
	}
}
