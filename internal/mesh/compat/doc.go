// Package compat checks that the encoded form of every message between processes of the mesh stays the same. Processes are upgraded one
// machine at a time, and encoding/gob writes the names of struct fields, so that a renamed field changes the wire format. The golden files
// in testdata were written by the program before its types were renamed, and never change.
package compat
