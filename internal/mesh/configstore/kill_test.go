package configstore

import (
	"os"
	"testing"
	"time"

	"milletmast/internal/mesh/controlstate"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/transport"
)

// copyDisk copies a disk of a running store to another disk number: what a store that is killed at this moment leaves behind.
func (c *testCluster) copyDisk(i, from, to int) {
	c.t.Helper()
	if err := os.CopyFS(c.diskDir(i, to), os.DirFS(c.diskDir(i, from))); err != nil {
		c.t.Fatal(err)
	}
}

// All stores are killed at once right after each acknowledgement: they start again from what their disks held at that moment. As soon as a
// majority of the disks is back, the configuration and the evacuation that were acknowledged last are read, and the next command is
// acknowledged. The store that comes back last reads the same.
func TestAcknowledgedStateSurvivesTheKillOfAllStores(t *testing.T) {
	c := newTestCluster(t, 3)
	for life := range 4 {
		version := life + 1
		c.runUntil(life%3, controlstate.Command{Kind: controlstate.PutConfig, Body: config(version)}, 10*time.Second, completed)
		if life%2 == 1 {
			c.runUntil((life+1)%3, controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "z1"}, 10*time.Second, completed)
		}
		for i := range 3 {
			c.copyDisk(i, life, life+1)
		}
		for i := range 3 {
			c.stop(i)
		}
		last, restartedAt := (life+2)%3, time.Now()
		for i := range 3 {
			if i != last {
				c.startOn(i, life+1, false)
			}
		}
		for i := range 3 {
			if i != last {
				c.checkVersion(i, version, 5*time.Second)
			}
		}
		t.Logf("life %d: both stores of the majority have returned version %d %v after their start", life, version, time.Since(restartedAt))
		c.startOn(last, life+1, false)
		c.checkVersion(last, version, 5*time.Second)
		if evacuated := c.evacuatedZones(last); life > 0 && (len(evacuated) != 1 || evacuated[0] != "z1") {
			t.Errorf("life %d: the zones %q are evacuated, want z1", life, evacuated)
		}
	}
}

// evacuatedZones returns the zones whose evacuation a store reports to its control plane, once it reports a configuration.
func (c *testCluster) evacuatedZones(i int) (zones []string) {
	c.t.Helper()
	conn, err := transport.Dial(c.t.Context(), c.address(i), 10*time.Second)
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.Send((&Handshake{ControlPlane: "test"}).Encode()); err != nil {
		c.t.Fatal(err)
	}
	for {
		var encoded controlstatewire.Word
		if err := conn.Receive(&encoded); err != nil {
			c.t.Fatalf("store %d sends no snapshot with a configuration: %v", i, err)
		}
		snapshot := encoded.Update().Snapshot
		if snapshot == nil || snapshot.ConfigVersion == 0 {
			continue
		}
		for _, evacuation := range snapshot.Evacuations {
			if evacuation.Active {
				zones = append(zones, evacuation.Zone)
			}
		}
		return zones
	}
}
