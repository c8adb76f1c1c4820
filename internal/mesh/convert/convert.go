// Package convert contains helpers for conversions between the types of the program and their encoded forms.
package convert

// Slice applies a conversion to each element of a list. A nil list stays nil, as an encoded list that is absent does.
func Slice[A, B any](in []A, element func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, x := range in {
		out[i] = element(x)
	}
	return out
}
