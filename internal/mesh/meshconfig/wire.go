package meshconfig

//go:generate easyjson -no_std_marshalers wire.go

import "github.com/mailru/easyjson"

// document is a configuration in the form in which operators send it.
//
//easyjson:json
type document struct {
	Epoch    string  `json:"epoch"`
	Routes   table   `json:"routes"`
	Services table   `json:"services"`
	Limits   *limits `json:"limits"`
}

// table is a list of records: the names of their fields, and one tuple of values in that order for
// each record.
//
//easyjson:json
type table struct {
	Attributes []string                `json:"attributes"`
	Tuples     [][]easyjson.RawMessage `json:"tuples"`
}

// limits bound what clients may send; 0 stands for the default.
//
//easyjson:json
type limits struct {
	MaxHeaderBytes int64   `json:"max_header_bytes"`
	MaxBodyBytes   int64   `json:"max_body_bytes"`
	HeaderTimeout  float64 `json:"header_timeout_s"`
	IdleTimeout    float64 `json:"idle_timeout_s"`
}

//easyjson:json
type weighted struct {
	Target string  `json:"target"`
	Weight float64 `json:"weight"`
}

// split is the list of the weighted targets of a route.
//
//easyjson:json
type split []weighted
