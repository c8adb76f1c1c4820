package meshconfig

//go:generate easyjson -no_std_marshalers wire.go

import "github.com/mailru/easyjson"

// document is a configuration in the form in which operators send it. Values stay as they are written, so
// that figures are read exactly.
//
//easyjson:json
type document struct {
	Epoch    string `json:"epoch"`
	Routes   *table `json:"routes"`
	Services *table `json:"services"`
	Limits   limits `json:"limits"`
}

// table is a list of records: the names of their fields, and one tuple of values in that order for
// each record.
//
//easyjson:json
type table struct {
	Attributes []string                `json:"attributes"`
	Tuples     [][]easyjson.RawMessage `json:"tuples"`
}

// limits bound what clients may send, by name; one that is not given has a default.
//
//easyjson:json
type limits map[string]easyjson.RawMessage

//easyjson:json
type weighted struct {
	Target string              `json:"target"`
	Weight easyjson.RawMessage `json:"weight"`
}

// split is the list of the weighted targets of a route.
//
//easyjson:json
type split []weighted
