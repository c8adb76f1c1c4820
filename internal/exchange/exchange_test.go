package exchange

import (
	"math/rand/v2"
	"testing"
)

// What is certain after each way that an exchange can take: the table of docs/design/answers.md.
func TestExchange(t *testing.T) {
	for name, c := range map[string]struct {
		met  []Event
		fate Fate
		over bool
		on   bool // the connection carries another request
	}{
		"nothing":                        {nil, NeverWritten, false, true},
		"called off at rest":             {[]Event{Abandoned}, NeverWritten, false, true},
		"surplus at rest":                {[]Event{Surplus}, NeverWritten, false, false},
		"closed at rest":                 {[]Event{Closes}, NeverWritten, false, false},
		"half written":                   {[]Event{Begins, Breaks}, NeverWritten, true, false},
		"half written, time over":        {[]Event{Begins, Silence}, NeverWritten, true, false},
		"half written, called off":       {[]Event{Begins, Abandoned}, CalledOff, true, false},
		"asked, never invited":           {[]Event{Begins, Asks, Silence}, NeverWritten, true, false},
		"asked, cut":                     {[]Event{Begins, Asks, Breaks}, NeverWritten, true, false},
		"asked, answered at once":        {[]Event{Begins, Asks, Owns, Finishes}, Whole, true, true},
		"asked, invited, served":         {[]Event{Begins, Asks, Invited, Written, Owns, Finishes}, Whole, true, true},
		"asked, invited, cut":            {[]Event{Begins, Asks, Invited, Breaks}, NeverWritten, true, false},
		"written, cut":                   {[]Event{Begins, Written, Breaks}, Broken, true, false},
		"written, silent":                {[]Event{Begins, Written, Silence}, TooLate, true, false},
		"written, called off":            {[]Event{Begins, Written, Abandoned}, CalledOff, true, false},
		"served":                         {[]Event{Begins, Written, Owns, Finishes}, Whole, true, true},
		"served, then closed":            {[]Event{Begins, Written, Owns, Closes, Finishes}, Whole, true, false},
		"served, with more behind":       {[]Event{Begins, Written, Owns, Finishes, Surplus}, Whole, true, false},
		"cut in the answer":              {[]Event{Begins, Written, Owns, Breaks}, Broken, true, false},
		"silent in the answer":           {[]Event{Begins, Written, Owns, Silence}, TooLate, true, false},
		"answered before it was whole":   {[]Event{Begins, Owns, Finishes}, Whole, true, false},
		"answered so, and cut":           {[]Event{Begins, Owns, Breaks}, Broken, true, false},
		"answered so, by no answer":      {[]Event{Begins, Mumbles}, Broken, true, false},
		"another's answer, half written": {[]Event{Begins, Stray, Breaks}, Broken, true, false},
		"another's answer, asked":        {[]Event{Begins, Asks, Stray, Invited, Written, Owns, Finishes}, Whole, true, true},
		"what cannot be":                 {[]Event{Begins, Written, Invited}, Broken, true, false},
		"another's answers only":         {[]Event{Begins, Written, Stray, Stray, Stray, Stray}, Broken, true, false},
	} {
		var x Exchange
		for _, h := range c.met {
			x = x.Next(h)
		}
		if x.Fate != c.fate || (x.Stage == Over) != c.over || x.Reusable() != c.on {
			t.Errorf("%s: %+v, reusable %v; want fate %d, over %v, reusable %v", name, x, x.Reusable(), c.fate, c.over, c.on)
		}
	}
}

// Whatever happens in whatever order: what was written whole is never said to be unwritten, what is over stays as it ended, and a
// connection that met anything but whole answers of its own requests carries no other.
func TestExchangeHolds(t *testing.T) {
	r := rand.New(rand.NewPCG(55, 5))
	for range 200_000 {
		var x Exchange
		out, sound := false, true
		for range r.IntN(12) {
			h := Event(r.IntN(int(Surplus) + 1))
			before := x
			x = x.Next(h)
			out = out || before.Stage != Over && x.Stage == Awaiting
			sound = sound && h != Surplus && h != Closes && h != Breaks && h != Silence
			if before.Stage == Over && (x.Stage != Over || x.Fate != before.Fate) {
				t.Fatalf("%+v is %+v after %d", before, x, h)
			}
			if out && x.Stage == Over && x.Fate == NeverWritten {
				t.Fatalf("%+v was written, and is %+v after %d", before, x, h)
			}
			if h == Stray && before.Stage >= Writing && before.Stage <= Awaiting && !x.Doubtful() {
				t.Fatalf("%+v is believed after another's answer", x)
			}
			if !sound && x.Reusable() {
				t.Fatalf("%+v is reused after %d", x, h)
			}
		}
	}
}

// An answer is told to be a request's own by its name alone, but for a peer of our own.
func TestBelongs(t *testing.T) {
	for _, c := range []struct {
		want string
		got  []string
		own  bool
		is   bool
	}{
		{"a", []string{"a"}, false, true}, {"a", []string{"b"}, false, false}, {"a", nil, false, false}, {"a", []string{""}, false, false},
		{"a", []string{"a", "b"}, false, false}, {"a", []string{"a", "a"}, true, false}, {"a", nil, true, true}, {"a", []string{"b"}, true, false},
		{"", nil, false, true}, {"", []string{"a"}, false, false}, {"", []string{"a"}, true, false}, {"", []string{""}, true, true},
	} {
		if is := Belongs(c.want, c.got, c.own); is != c.is {
			t.Errorf("%q to %q, own %v: %v", c.got, c.want, c.own, is)
		}
	}
}
