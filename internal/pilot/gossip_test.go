package pilot

import (
	"testing"
	"time"

	"whinknot/internal/keeper"
	"whinknot/internal/lamp"
	"whinknot/internal/tide"
)

// Two pilots that are cut off, of which each knows an evacuation that the other lacks, both go by the newer of both zones after one talk
// there and back, also where the numbers of their orders have the same sum.
func TestPilotsThatEachLackAnEvacuation(t *testing.T) {
	holds := func(north, south uint64) *Pilot {
		room := lamp.NewChartroom(time.Unix(1, 0), lamp.Bounds{})
		zone := func(name string, n uint64) keeper.Evacuation {
			return keeper.Evacuation{Zone: name, Stamp: tide.Stamp{Number: n, By: "d"}, On: n == 2}
		}
		room.Ordered(lamp.Lighthouse, &keeper.InForce{
			Config: []byte("r1"), Version: 1, Settled: true, Epoch: 1, Evacuations: []keeper.Evacuation{zone("north", north), zone("south", south)},
		})
		return &Pilot{room: room, links: &links{}}
	}
	a, b := holds(2, 1), holds(1, 2)
	for _, x := range []struct{ asks, told *Pilot }{{a, b}, {b, a}} {
		if g := x.told.reply(x.asks.gossip()); g.InForce != nil {
			x.asks.room.Ordered(lamp.Pilot, g.InForce)
		}
		for _, zone := range []string{"north", "south"} {
			if !x.asks.room.Evacuated(zone) {
				t.Errorf("%s is not evacuated", zone)
			}
		}
	}
	if g := a.reply(b.gossip()); g.InForce != nil {
		t.Error("the same is told again")
	}
}
