// Package compat pins the encoded form of every message that processes of the mesh send to each other. Processes are upgraded one
// machine at a time, and encoding/gob writes the names of struct fields, so a renamed field is another wire format. The golden files in
// testdata were written by the program before its types were renamed and never change.
package compat
