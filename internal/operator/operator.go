// Package operator reads the operator's file: what an installation switches on beside the platform's
// settings. It is Jsonnet, held against api/operator.schema.json, and read only where --operator or
// TERNSTAGE_OPERATOR names it. Without one everything in it is off.
package operator

import (
	"ternstage/api"
	"ternstage/internal/jsonnetfile"
	"ternstage/internal/slicemap"
)

// File is the operator's file.
type File struct {
	Flight *Flight `json:"flight"`
	Slices *Slices `json:"slices"`
}

// Flight is the Arrow Flight front and back end.
type Flight struct {
	Enabled bool   `json:"enabled"`
	Listen  string `json:"listen"`
	Nodes   bool   `json:"nodes"`
	Streams int    `json:"streams"`
	Conns   int    `json:"conns"`
}

// Slices says where the map of slices comes from; slices move if it is there.
type Slices struct {
	Catalogue string   `json:"catalogue"`
	Wait      *float64 `json:"wait_ms"`
	Spread    *float64 `json:"spread_ms"`
	Rest      *float64 `json:"rest_ms"`
	AnswerMB  int      `json:"answer_mb"`
	Most      int      `json:"most"`
	Versions  int      `json:"versions"`
	History   int      `json:"history"`
	Cache     string   `json:"cache"`
}

const defaultAnswerMB = 32

// Load reads the file; no path is an empty file.
func Load(path string) (*File, error) {
	f := &File{}
	if path == "" {
		return f, nil
	}
	return f, jsonnetfile.Load(path, api.OperatorSchema, nil, f)
}

// Follow is how the catalogue is followed.
func (s *Slices) Follow() slicemap.FollowOptions {
	o := slicemap.DefaultFollow
	for _, v := range []struct {
		to   *float64
		from *float64
	}{{&o.Wait, s.Wait}, {&o.Spread, s.Spread}, {&o.Rest, s.Rest}} {
		if v.from != nil {
			*v.to = *v.from
		}
	}
	return o
}

// AnswerBytes bounds an answer of the catalogue.
func (s *Slices) AnswerBytes() int {
	if s.AnswerMB == 0 {
		return defaultAnswerMB << 20
	}
	return s.AnswerMB << 20
}
