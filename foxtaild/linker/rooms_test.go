package linker

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"foxtaillug.org/scheduler/balancer"
	"foxtaillug.org/scheduler/coordinator"
)

// earlierSummary has the fields of a summary of the builds before rooms.
type earlierSummary struct {
	Process, Domain string
	Free            map[string]int
	FreeByVersion   map[string]map[string]int
	Used            map[string]float64
}

// TestRoomsBetweenBuilds guards against a fleet of two builds whose coordinators do not read
// each other's summaries: what an earlier build does not know is ignored, and what it does not
// send is unknown.
func TestRoomsBetweenBuilds(t *testing.T) {
	var buf bytes.Buffer
	enc, dec := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
	room := balancer.Room{Rate: 30, Spread: 3, Queued: []int{0, 500}, Running: 9000, Waits: []int{0, 40, 90}, FirstToken: 1.2, Round: 7}
	sent := coordinator.Summary{Process: "p", Domain: "d", Free: map[string]int{"engines": -2}, Rooms: map[string]balancer.Room{"engines": room}}
	if err := enc.Encode(&sent); err != nil {
		t.Fatal(err)
	}
	var old earlierSummary
	if err := dec.Decode(&old); err != nil || old.Free["engines"] != -2 || old.Domain != "d" {
		t.Errorf("an earlier build reads %+v, %v", old, err)
	}
	if err := gob.NewEncoder(&buf).Encode(&old); err != nil {
		t.Fatal(err)
	}
	var s coordinator.Summary
	if err := gob.NewDecoder(&buf).Decode(&s); err != nil || s.Rooms != nil || s.Free["engines"] != -2 {
		t.Errorf("this build reads %+v, %v", s, err)
	}
	if err := gob.NewEncoder(&buf).Encode(&sent); err != nil {
		t.Fatal(err)
	}
	var same coordinator.Summary
	if err := gob.NewDecoder(&buf).Decode(&same); err != nil || !reflect.DeepEqual(same, sent) {
		t.Errorf("this build reads %+v of its own, %v", same, err)
	}
}
