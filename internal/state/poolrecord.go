package state

import (
	"encoding/json"

	"milletmast/balancer"
)

// poolRecord is PoolState as it is on disk. The names of its fields and of the types in it are part of the file format.
type poolRecord struct {
	ModuleSettings string        `json:"module"`
	Servers        []string      `json:"servers"`
	Learned        learnedRecord `json:"memory"`
}

type learnedRecord struct {
	At                   float64
	ConcurrencyPerServer float64 `json:"Room"`
	LatencyRatio         float64 `json:"Typical"`
	BaseLatencyRatio     float64 `json:"Calm"`
	ArrivalRate          float64 `json:"Demand"`
	SendRate             float64 `json:"Sent"`
	Classes              []classRecord
	Servers              []serverRecord
}

type classRecord struct {
	MeanLatency  float64 `json:"Latency"`
	RequestShare float64 `json:"Share"`
	OnTimeShare  float64 `json:"Served"`
}

type serverRecord struct {
	ID           uint32  `json:"Server"`
	StartedAt    float64 `json:"Started"`
	Load         float64
	MaxLoad      float64
	LatencyRatio float64 `json:"Pace"`
	FailureRun   float64 `json:"Run"`
	Ejected      bool    `json:"Cut"`
}

// MarshalJSON encodes the state in the form of the file.
func (p PoolState) MarshalJSON() ([]byte, error) {
	m := &p.Learned
	r := poolRecord{ModuleSettings: p.ModuleSettings, Servers: p.Servers, Learned: learnedRecord{
		At:                   m.At,
		ConcurrencyPerServer: m.ConcurrencyPerServer,
		LatencyRatio:         m.LatencyRatio,
		BaseLatencyRatio:     m.BaseLatencyRatio,
		ArrivalRate:          m.ArrivalRate,
		SendRate:             m.SendRate,
	}}
	for _, c := range m.Classes {
		r.Learned.Classes = append(r.Learned.Classes, classRecord(c))
	}
	for _, s := range m.Servers {
		r.Learned.Servers = append(r.Learned.Servers, serverRecord(s))
	}
	return json.Marshal(r)
}

// UnmarshalJSON decodes a state that MarshalJSON has encoded. The state is unchanged after an error.
func (p *PoolState) UnmarshalJSON(encoded []byte) error {
	var r poolRecord
	if err := json.Unmarshal(encoded, &r); err != nil {
		return err
	}
	l := &r.Learned
	m := balancer.LearnedState{
		At:                   l.At,
		ConcurrencyPerServer: l.ConcurrencyPerServer,
		LatencyRatio:         l.LatencyRatio,
		BaseLatencyRatio:     l.BaseLatencyRatio,
		ArrivalRate:          l.ArrivalRate,
		SendRate:             l.SendRate,
	}
	for _, c := range l.Classes {
		m.Classes = append(m.Classes, balancer.LearnedClass(c))
	}
	for _, s := range l.Servers {
		m.Servers = append(m.Servers, balancer.LearnedServer(s))
	}
	*p = PoolState{ModuleSettings: r.ModuleSettings, Servers: r.Servers, Learned: m}
	return nil
}
